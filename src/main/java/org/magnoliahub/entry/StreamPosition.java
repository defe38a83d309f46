package org.magnoliahub.entry;

import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * The position up to which a stream was relayed to the caller.
 */
final class StreamPosition {

	private final String mediaType;

	private @Nullable String lastEventId;

	/**
	 * Creates the position before the first event.
	 * @param contentType content type of the response whose head was relayed, or
	 * {@code null} if it stated none
	 */
	StreamPosition(@Nullable String contentType) {
		this.mediaType = mediaType(contentType);
	}

	private static String mediaType(@Nullable String contentType) {
		if (contentType == null) {
			return "";
		}
		return contentType.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns whether a response has the media type of the relayed head. Events of
	 * another one are not part of the stream.
	 * @param contentType content type of the response, or {@code null} if it states none
	 * @return whether the media types are equal, regardless of parameters
	 */
	boolean hasContentType(@Nullable String contentType) {
		return this.mediaType.equals(mediaType(contentType));
	}

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
