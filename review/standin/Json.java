import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles, booleans and nulls. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(Object value) {
		return (value instanceof Map) ? (Map<String, Object>) value : Map.of();
	}

	@SuppressWarnings("unchecked")
	static List<Object> list(Object value) {
		return (value instanceof List) ? (List<Object>) value : List.of();
	}

	static long number(Object value) {
		return (value instanceof Double number) ? number.longValue() : 0;
	}

	static String quote(String text) {
		return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
	}

	private char peek() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		char first = peek();
		if (first == '{') {
			return map();
		}
		if (first == '[') {
			return array();
		}
		if (first == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> Double.valueOf(word);
		};
	}

	private Map<String, Object> map() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		while (peek() != '}') {
			String name = string();
			peek();
			this.at++;
			map.put(name, value());
			if (peek() == ',') {
				this.at++;
			}
		}
		this.at++;
		return map;
	}

	private List<Object> array() {
		List<Object> list = new ArrayList<>();
		this.at++;
		while (peek() != ']') {
			list.add(value());
			if (peek() == ',') {
				this.at++;
			}
		}
		this.at++;
		return list;
	}

	private String string() {
		peek();
		this.at++;
		StringBuilder result = new StringBuilder();
		while (this.text.charAt(this.at) != '"') {
			char symbol = this.text.charAt(this.at++);
			if (symbol != '\\') {
				result.append(symbol);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> result.append('\n');
				case 'r' -> result.append('\r');
				case 't' -> result.append('\t');
				case 'u' -> {
					result.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> result.append(escaped);
			}
		}
		this.at++;
		return result.toString();
	}

}
