package org.magnoliahub.entry;

/**
 * Time after which an attempt without any sign of its endpoint counts as silent.
 */
final class ResponseTimeout {

	/** The response timeout as a multiple of the expected time to the first response. */
	private static final double RESPONSE_TIMEOUT_FACTOR = 4;

	private static final long MINIMUM_RESPONSE_TIMEOUT_MILLIS = 250;

	private static final long MINIMUM_FIRST_EVENT_TIMEOUT_MILLIS = 600;

	/** Response timeout between the events of a stream. */
	private static final long EVENT_TIMEOUT_MILLIS = 1_000;

	private ResponseTimeout() {
	}

	/**
	 * Returns the time between the events of a stream that has begun.
	 * @return milliseconds
	 */
	static long betweenEventsMillis() {
		return EVENT_TIMEOUT_MILLIS;
	}

	/**
	 * Returns the time until a response begins.
	 * @param streaming whether it is a stream
	 * @param expectedMillis expected time, in milliseconds
	 * @return milliseconds
	 */
	static long beforeResponseMillis(boolean streaming, double expectedMillis) {
		long minimum = streaming ? MINIMUM_FIRST_EVENT_TIMEOUT_MILLIS : MINIMUM_RESPONSE_TIMEOUT_MILLIS;
		return Math.max(minimum, (long) (RESPONSE_TIMEOUT_FACTOR * expectedMillis));
	}

}
