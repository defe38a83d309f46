package org.magnoliahub.query;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Forms of a result. All of them show the notes.
 */
public enum ResultFormat {

	/** Aligned columns for people. */
	TABLE("text/plain") {

		@Override
		public String render(QueryResult result) {
			List<List<String>> lines = new ArrayList<>();
			lines.add(result.columns());
			result.rows().forEach((row) -> lines.add(row.stream().map(ResultFormat::printable).toList()));
			int columns = result.columns().size();
			int[] widths = new int[columns];
			lines.forEach((line) -> {
				for (int i = 0; i < columns; i++) {
					widths[i] = Math.max(widths[i], line.get(i).length());
				}
			});
			StringBuilder text = new StringBuilder();
			for (List<String> line : lines) {
				StringBuilder row = new StringBuilder();
				for (int i = 0; i < columns; i++) {
					row.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
				}
				text.append(row.toString().stripTrailing()).append('\n');
			}
			text.append('(').append(result.rows().size()).append((result.rows().size() == 1) ? " row)\n" : " rows)\n");
			result.notes().forEach((note) -> text.append("note: ").append(printable(note)).append('\n'));
			return text.toString();
		}

	},

	/** One JSON object with columns, rows and notes. */
	JSON("application/json") {

		@Override
		public String render(QueryResult result) {
			ObjectNode node = MAPPER.createObjectNode();
			ArrayNode rows = node.putArray("rows");
			for (List<String> row : result.rows()) {
				ObjectNode object = rows.addObject();
				for (int i = 0; i < row.size(); i++) {
					object.put(result.columns().get(i), row.get(i));
				}
			}
			result.notes().forEach(node.putArray("notes")::add);
			return node.toPrettyString() + "\n";
		}

	},

	/** Comma-separated values; notes are lines at the end that start with {@code #}. */
	CSV("text/csv") {

		@Override
		public String render(QueryResult result) {
			StringBuilder text = new StringBuilder(line(result.columns()));
			result.rows().forEach((row) -> text.append(line(row)));
			result.notes().forEach((note) -> text.append("# ").append(printable(note)).append("\r\n"));
			return text.toString();
		}

	};

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final String mediaType;

	ResultFormat(String mediaType) {
		this.mediaType = mediaType;
	}

	/**
	 * Finds a format.
	 * @param name its name in any case
	 * @return the format, empty if there is none of this name
	 */
	public static Optional<ResultFormat> find(String name) {
		for (ResultFormat format : values()) {
			if (format.name().toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT))) {
				return Optional.of(format);
			}
		}
		return Optional.empty();
	}

	/**
	 * Renders a result.
	 * @param result the result
	 * @return the text
	 */
	public abstract String render(QueryResult result);

	/**
	 * Returns the media type.
	 * @return for example {@code text/csv}
	 */
	public String mediaType() {
		return this.mediaType;
	}

	/**
	 * Replaces control characters, which could imitate further lines of output.
	 * @param text any text
	 * @return the text on one line
	 */
	public static String printable(String text) {
		return text.replaceAll("\\p{Cntrl}", "?");
	}

	private static String line(List<String> values) {
		return values.stream().map(ResultFormat::quoted).collect(Collectors.joining(",")) + "\r\n";
	}

	// A leading sign could be run as a formula by a spreadsheet.
	private static String quoted(String value) {
		String safe = (!value.isEmpty() && "=+-@#".indexOf(value.charAt(0)) >= 0) ? "'" + value : value;
		boolean plain = safe.chars().allMatch((character) -> character >= ' ' && ",\"".indexOf(character) < 0);
		return plain ? safe : "\"" + safe.replace("\"", "\"\"") + "\"";
	}

}
