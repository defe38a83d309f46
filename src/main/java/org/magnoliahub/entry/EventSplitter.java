package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Extracts complete events from a server-sent event stream. As only complete events are
 * relayed, a stream that breaks within an event can be resumed with that event.
 * <p>
 * Lines end with a line feed, a carriage return or both.
 */
final class EventSplitter {

	private final ByteArrayOutputStream incompleteEvent = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	/** Whether the last byte is a carriage return that a line feed may follow. */
	private boolean carriageReturnPending;

	/** Whether the last byte is a carriage return that has ended a line. */
	private boolean carriageReturnApplied;

	/**
	 * Whether a carriage return has ended a line alone, so that the next one does not
	 * wait for a line feed.
	 */
	private boolean carriageReturnsAlone;

	private int completeLength;

	private boolean eventsFound;

	/**
	 * Adds bytes of the stream.
	 * @param data the bytes
	 * @return the events that are complete now, possibly empty
	 */
	byte[] add(ByteBuf data) {
		this.completeLength = 0;
		int start = this.incompleteEvent.size();
		int length = data.readableBytes();
		for (int index = 0; index < length; index++) {
			scan(data.getByte(data.readerIndex() + index), start + index);
		}
		byte[] bytes = new byte[length];
		data.getBytes(data.readerIndex(), bytes);
		this.incompleteEvent.writeBytes(bytes);
		if (this.completeLength == 0) {
			return new byte[0];
		}
		this.eventsFound = true;
		byte[] all = this.incompleteEvent.toByteArray();
		this.incompleteEvent.reset();
		this.incompleteEvent.write(all, this.completeLength, all.length - this.completeLength);
		return Arrays.copyOf(all, this.completeLength);
	}

	private void scan(byte value, int offset) {
		if (value == '\n') {
			scanLineFeed(offset);
			return;
		}
		if (this.carriageReturnPending) {
			this.carriageReturnPending = false;
			this.carriageReturnsAlone = true;
			endLine(offset);
		}
		this.carriageReturnApplied = false;
		if (value != '\r') {
			this.lineEmpty = false;
		}
		else if (this.carriageReturnsAlone) {
			this.carriageReturnApplied = true;
			endLine(offset + 1);
		}
		else {
			this.carriageReturnPending = true;
		}
	}

	private void scanLineFeed(int offset) {
		boolean lineEnded = this.carriageReturnApplied;
		this.carriageReturnApplied = false;
		this.carriageReturnPending = false;
		if (!lineEnded) {
			endLine(offset + 1);
		}
		else if (this.completeLength > 0 && this.completeLength == offset) {
			this.completeLength++;
		}
	}

	private void endLine(int end) {
		if (this.lineEmpty) {
			this.completeLength = end;
		}
		this.lineEmpty = true;
	}

	/**
	 * Returns whether events have been complete.
	 * @return whether {@link #add} has returned bytes
	 */
	boolean hasFoundEvents() {
		return this.eventsFound;
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

	/**
	 * Returns whether a stream that ends here has been broken off.
	 * @return whether the bytes after the last complete event are a part of an event or
	 * of a line
	 */
	boolean endsInsideEvent() {
		return StreamEvent.endsInside(incompleteEvent());
	}

}
