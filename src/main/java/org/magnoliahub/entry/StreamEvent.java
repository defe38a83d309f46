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
			int lineEnd = text.indexOf('\n', at);
			int next = (lineEnd < 0) ? text.length() : lineEnd + 1;
			String line = withoutLineEnd(text.substring(at, next));
			at = next;
			if (line.startsWith(ID_FIELD)) {
				id = line.substring(ID_FIELD.length()).strip();
			}
			if (!line.isEmpty()) {
				content |= !line.startsWith(COMMENT) && !line.startsWith(RETRY_FIELD);
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

	private static String withoutLineEnd(String line) {
		int end = line.length();
		while (end > 0 && (line.charAt(end - 1) == '\n' || line.charAt(end - 1) == '\r')) {
			end--;
		}
		return line.substring(0, end);
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
