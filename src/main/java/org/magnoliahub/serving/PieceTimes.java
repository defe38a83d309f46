package org.magnoliahub.serving;

/**
 * Where the time of a piece went at the gateway that formed its calls.
 *
 * @param waitMillis wait for the call that made it
 * @param callMillis time of that call
 * @param failedAttemptMillis time of earlier calls that did not make it, and of the waits
 * for them
 */
public record PieceTimes(long waitMillis, long callMillis, long failedAttemptMillis) {

	/** Times of a piece that is not made. */
	public static final PieceTimes NONE = new PieceTimes(0, 0, 0);

}
