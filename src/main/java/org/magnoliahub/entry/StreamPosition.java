package org.magnoliahub.entry;

import org.jspecify.annotations.Nullable;

/**
 * What of a stream was passed on to the caller.
 */
final class StreamPosition {

	private @Nullable String lastEventId;

	/**
	 * Notes events that were passed on.
	 * @param events whole events
	 */
	void passed(byte[] events) {
		String last = EventSplitter.lastId(events);
		if (last != null) {
			this.lastEventId = last;
		}
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id, or {@code null} if events have none
	 */
	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns whether events go on where the stream stands.
	 * @param events whole events of another run
	 * @return whether the first id follows the last one that was passed on
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
