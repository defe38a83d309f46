package org.magnoliahub.entry;

import org.jspecify.annotations.Nullable;

/**
 * The position up to which a stream was relayed to the caller.
 */
final class StreamPosition {

	private @Nullable String lastEventId;

	/**
	 * Advances the position past relayed events.
	 * @param events complete events
	 */
	void advance(byte[] events) {
		String last = EventSplitter.lastId(events);
		if (last != null) {
			this.lastEventId = last;
		}
	}

	/**
	 * Returns the id of the last relayed event.
	 * @return the id, or {@code null} if the events have none
	 */
	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns whether events of another attempt continue the stream at this position.
	 * @param events complete events
	 * @return whether the first event id is greater than the id of the last relayed event
	 */
	boolean isContinuedBy(byte[] events) {
		String first = EventSplitter.firstId(events);
		if (first == null || this.lastEventId == null) {
			return false;
		}
		try {
			return Long.parseLong(first) > Long.parseLong(this.lastEventId);
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

}
