package org.magnoliahub.serving;

/**
 * Limits on requests and connections of callers.
 *
 * @param maximumHeaderBytes maximum size of the request line and headers, in bytes
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time to receive the request line and headers, in
 * milliseconds
 * @param idleTimeoutMillis maximum idle time of a connection, in milliseconds
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis,
		long idleTimeoutMillis) {

	/** Limits used until the first configuration has been loaded. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

}
