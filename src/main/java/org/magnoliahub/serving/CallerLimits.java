package org.magnoliahub.serving;

/**
 * Bounds on what a caller may send.
 *
 * @param maximumHeaderBytes largest head of a request, in bytes
 * @param maximumBodyBytes largest body, in bytes
 * @param headerTimeoutMillis longest time for a head to arrive, in milliseconds
 * @param idleTimeoutMillis longest time a connection stays idle, in milliseconds
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis,
		long idleTimeoutMillis) {

	/** Bounds in force before the first configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

}
