package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Extracts complete events from a server-sent event stream. As only complete events are
 * relayed, a stream that breaks within an event can be resumed with that event.
 */
final class EventSplitter {

	private final ByteArrayOutputStream incompleteEvent = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	/**
	 * Adds bytes of the stream.
	 * @param data the bytes
	 * @return the events that are complete now, possibly empty
	 */
	byte[] add(ByteBuf data) {
		int completeLength = -1;
		int start = this.incompleteEvent.size();
		int length = data.readableBytes();
		for (int index = 0; index < length; index++) {
			byte value = data.getByte(data.readerIndex() + index);
			if (value == '\n') {
				if (this.lineEmpty) {
					completeLength = start + index + 1;
				}
				this.lineEmpty = true;
			}
			else if (value != '\r') {
				this.lineEmpty = false;
			}
		}
		byte[] bytes = new byte[length];
		data.getBytes(data.readerIndex(), bytes);
		this.incompleteEvent.writeBytes(bytes);
		if (completeLength < 0) {
			return new byte[0];
		}
		byte[] all = this.incompleteEvent.toByteArray();
		this.incompleteEvent.reset();
		this.incompleteEvent.write(all, completeLength, all.length - completeLength);
		return Arrays.copyOf(all, completeLength);
	}

	/**
	 * Returns the size of the incomplete event.
	 * @return the number of bytes after the last complete event
	 */
	int incompleteBytes() {
		return this.incompleteEvent.size();
	}

	/**
	 * Returns the incomplete event.
	 * @return the bytes after the last complete event
	 */
	byte[] incompleteEvent() {
		return this.incompleteEvent.toByteArray();
	}

}
