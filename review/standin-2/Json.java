package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON as maps, lists, texts, numbers, booleans and null.
 */
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
	static Map<String, Object> readObject(String text) {
		return (Map<String, Object>) read(text);
	}

	private Object value() {
		skipBlanks();
		char first = this.text.charAt(this.at);
		return switch (first) {
			case '{' -> object();
			case '[' -> list();
			case '"' -> string();
			case 't' -> word("true", Boolean.TRUE);
			case 'f' -> word("false", Boolean.FALSE);
			case 'n' -> word("null", null);
			default -> number();
		};
	}

	private Object word(String word, Object value) {
		this.at += word.length();
		return value;
	}

	private Map<String, Object> object() {
		Map<String, Object> object = new LinkedHashMap<>();
		this.at++;
		skipBlanks();
		while (this.text.charAt(this.at) != '}') {
			skipBlanks();
			String name = string();
			skipBlanks();
			this.at++;
			object.put(name, value());
			skipBlanks();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				skipBlanks();
			}
		}
		this.at++;
		return object;
	}

	private List<Object> list() {
		List<Object> list = new ArrayList<>();
		this.at++;
		skipBlanks();
		while (this.text.charAt(this.at) != ']') {
			list.add(value());
			skipBlanks();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				skipBlanks();
			}
		}
		this.at++;
		return list;
	}

	private String string() {
		StringBuilder string = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char symbol = this.text.charAt(this.at++);
			if (symbol != '\\') {
				string.append(symbol);
				continue;
			}
			char escape = this.text.charAt(this.at++);
			switch (escape) {
				case 'n' -> string.append('\n');
				case 't' -> string.append('\t');
				case 'r' -> string.append('\r');
				case 'b' -> string.append('\b');
				case 'f' -> string.append('\f');
				case 'u' -> {
					string.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> string.append(escape);
			}
		}
		this.at++;
		return string.toString();
	}

	private Number number() {
		int start = this.at;
		while (this.at < this.text.length() && "+-.eE0123456789".indexOf(this.text.charAt(this.at)) >= 0) {
			this.at++;
		}
		String number = this.text.substring(start, this.at);
		if (number.matches("-?[0-9]+")) {
			return Long.valueOf(number);
		}
		return Double.valueOf(number);
	}

	private void skipBlanks() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	static String write(Object value) {
		StringBuilder text = new StringBuilder();
		write(value, text);
		return text.toString();
	}

	private static void write(Object value, StringBuilder text) {
		if (value instanceof Map<?, ?> map) {
			text.append('{');
			String separator = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				text.append(separator);
				write(entry.getKey().toString(), text);
				text.append(':');
				write(entry.getValue(), text);
				separator = ",";
			}
			text.append('}');
		}
		else if (value instanceof List<?> list) {
			text.append('[');
			String separator = "";
			for (Object element : list) {
				text.append(separator);
				write(element, text);
				separator = ",";
			}
			text.append(']');
		}
		else if (value instanceof String string) {
			text.append('"');
			for (char symbol : string.toCharArray()) {
				if (symbol == '"' || symbol == '\\') {
					text.append('\\').append(symbol);
				}
				else if (symbol < ' ') {
					text.append(String.format("\\u%04x", (int) symbol));
				}
				else {
					text.append(symbol);
				}
			}
			text.append('"');
		}
		else {
			text.append(value);
		}
	}

}
