package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of events into whole events, so that a stream that breaks off within an
 * event can go on with the next whole one.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	/**
	 * Adds bytes of the stream.
	 * @param data the bytes
	 * @return all events that are whole now, possibly empty
	 */
	byte[] add(ByteBuf data) {
		int whole = -1;
		int start = this.partial.size();
		int length = data.readableBytes();
		for (int index = 0; index < length; index++) {
			byte value = data.getByte(data.readerIndex() + index);
			if (value == '\n') {
				if (this.lineEmpty) {
					whole = start + index + 1;
				}
				this.lineEmpty = true;
			}
			else if (value != '\r') {
				this.lineEmpty = false;
			}
		}
		byte[] bytes = new byte[length];
		data.getBytes(data.readerIndex(), bytes);
		this.partial.writeBytes(bytes);
		if (whole < 0) {
			return new byte[0];
		}
		byte[] all = this.partial.toByteArray();
		this.partial.reset();
		this.partial.write(all, whole, all.length - whole);
		return Arrays.copyOf(all, whole);
	}

	/**
	 * Returns the last id in a text of events.
	 * @param events whole events
	 * @return the id, or {@code null} if there is none
	 */
	static @Nullable String lastId(byte[] events) {
		String text = new String(events, StandardCharsets.UTF_8);
		int at = text.lastIndexOf(ID_FIELD);
		while (at > 0 && text.charAt(at - 1) != '\n') {
			at = text.lastIndexOf(ID_FIELD, at - 1);
		}
		if (at < 0) {
			return null;
		}
		int end = text.indexOf('\n', at);
		return text.substring(at + ID_FIELD.length(), (end < 0) ? text.length() : end).trim();
	}

	/**
	 * Returns the first id in a text of events.
	 * @param events whole events
	 * @return the id, or {@code null} if there is none
	 */
	static @Nullable String firstId(byte[] events) {
		String text = new String(events, StandardCharsets.UTF_8);
		for (String line : text.split("\n")) {
			if (line.startsWith(ID_FIELD)) {
				return line.substring(ID_FIELD.length()).trim();
			}
		}
		return null;
	}

	/**
	 * Returns how much follows the last whole event.
	 * @return bytes
	 */
	int partialBytes() {
		return this.partial.size();
	}

	/**
	 * Returns what follows the last whole event.
	 * @return bytes of an event that is not whole
	 */
	byte[] rest() {
		return this.partial.toByteArray();
	}

}
