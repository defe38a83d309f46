package org.magnoliahub.serving;

/**
 * Durations of the processing steps of a piece at the owner of the queue.
 *
 * @param waitMillis queueing time before the final batch, in milliseconds
 * @param callMillis duration of the final batch, in milliseconds
 * @param failedAttemptMillis queueing times and durations of the earlier batches that
 * failed to process the piece, in milliseconds
 */
public record PieceTimes(long waitMillis, long callMillis, long failedAttemptMillis) {

	/** Durations of a piece that was not processed. */
	public static final PieceTimes NONE = new PieceTimes(0, 0, 0);

}
