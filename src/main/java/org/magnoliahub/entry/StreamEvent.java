package org.magnoliahub.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * One event of a server-sent event stream. Comments, {@code retry} fields and blank lines
 * between events are not part of any event.
 *
 * @param start offset of its first byte
 * @param id value of its {@code id} field, or {@code null} if it has none
 */
record StreamEvent(int start, @Nullable String id) {

	private static final String BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF";

	private static final String ID_FIELD = "id:";

	private static final String COMMENT = ":";

	private static final String RETRY_FIELD = "retry:";

	/**
	 * Finds events.
	 * @param bytes complete events, with or without a byte order mark
	 * @return the events in their order
	 */
	static List<StreamEvent> parse(byte[] bytes) {
		// One character for each byte, so that offsets are the same.
		String text = new String(bytes, StandardCharsets.ISO_8859_1);
		List<StreamEvent> events = new ArrayList<>();
		int at = text.startsWith(BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.length() : 0;
		int start = at;
		boolean content = false;
		String id = null;
		while (at < text.length()) {
			int lineEnd = lineEnd(text, at);
			String line = text.substring(at, lineEnd);
			at = nextLine(text, lineEnd);
			if (line.startsWith(ID_FIELD)) {
				id = line.substring(ID_FIELD.length()).strip();
			}
			if (!line.isEmpty()) {
				content |= isContent(line);
				continue;
			}
			if (content) {
				events.add(new StreamEvent(start, id));
			}
			start = at;
			content = false;
			id = null;
		}
		return events;
	}

	/**
	 * Returns whether a stream ends within an event or a line.
	 * @param rest the bytes after the last complete event
	 * @return {@code false} if they are only whole comments, {@code retry} fields and
	 * blank lines
	 */
	static boolean endsInside(byte[] rest) {
		String text = new String(rest, StandardCharsets.ISO_8859_1);
		int at = 0;
		boolean content = false;
		while (at < text.length()) {
			int lineEnd = lineEnd(text, at);
			if (lineEnd == text.length()) {
				return true;
			}
			String line = text.substring(at, lineEnd);
			content = !line.isEmpty() && (content || isContent(line));
			at = nextLine(text, lineEnd);
		}
		return content;
	}

	private static boolean isContent(String line) {
		return !line.startsWith(COMMENT) && !line.startsWith(RETRY_FIELD);
	}

	// Returns the offset of the line end, or the length of the text if there is none.
	private static int lineEnd(String text, int start) {
		int end = start;
		while (end < text.length() && text.charAt(end) != '\n' && text.charAt(end) != '\r') {
			end++;
		}
		return end;
	}

	private static int nextLine(String text, int lineEnd) {
		return Math.min(text.length(), text.startsWith("\r\n", lineEnd) ? lineEnd + 2 : lineEnd + 1);
	}

	/**
	 * Returns the id as a number.
	 * @return the number, or -1 if the event has no id or the id is no number
	 */
	long number() {
		if (this.id == null) {
			return -1;
		}
		try {
			return Math.max(-1, Long.parseLong(this.id));
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

}
