package org.magnoliahub.entry;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * The position up to which a stream was relayed to the caller.
 */
final class StreamPosition {

	private static final String EVENT_STREAM = "text/event-stream";

	private final String mediaType;

	private @Nullable String lastEventId;

	private long lastNumber = -1;

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
	 * Returns whether a response to a streaming request is a stream of events.
	 * @param contentType content type of the response, or {@code null} if it states none
	 * @return {@code false} if it states another content type
	 */
	static boolean mayContainEvents(@Nullable String contentType) {
		String type = mediaType(contentType);
		return type.isEmpty() || type.equals(EVENT_STREAM);
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
	 * @param bytes complete events
	 */
	void advance(byte[] bytes) {
		List<StreamEvent> events = StreamEvent.parse(bytes);
		for (StreamEvent event : events) {
			this.lastNumber = event.number();
			if (event.id() != null) {
				this.lastEventId = event.id();
			}
		}
	}

	/**
	 * Returns the id of the last relayed event that has one.
	 * @return the id, or {@code null} if the events have none
	 */
	@Nullable String lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns whether another attempt can continue the stream. Behind an event whose id
	 * is missing or no number it would repeat events or could not be checked.
	 * @return whether the last relayed event has a number as its id
	 */
	boolean isResumable() {
		return this.lastNumber >= 0;
	}

	/**
	 * Returns whether events of another attempt continue the stream at this position. Ids
	 * may skip numbers, because they are only known to increase.
	 * @param bytes complete events
	 * @return whether the first event has an id, and all ids are numbers that increase
	 * from the id of the last relayed event
	 */
	boolean isContinuedBy(byte[] bytes) {
		List<StreamEvent> events = StreamEvent.parse(bytes);
		if (!isResumable() || events.isEmpty() || events.get(0).id() == null) {
			return false;
		}
		long previous = this.lastNumber;
		for (StreamEvent event : events) {
			if (event.id() == null) {
				continue;
			}
			if (event.number() <= previous) {
				return false;
			}
			previous = event.number();
		}
		return true;
	}

	/**
	 * Removes what precedes the first event of another attempt: a byte order mark, which
	 * is valid only at the start of a stream, comments and retry fields.
	 * @param bytes complete events
	 * @return the bytes from the first event, empty if they hold none
	 */
	static byte[] withoutPreamble(byte[] bytes) {
		List<StreamEvent> events = StreamEvent.parse(bytes);
		return events.isEmpty() ? new byte[0] : Arrays.copyOfRange(bytes, events.get(0).start(), bytes.length);
	}

}
