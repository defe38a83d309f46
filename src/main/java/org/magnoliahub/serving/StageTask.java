package org.magnoliahub.serving;

/**
 * One piece of a stage job that is queued or part of a running batch.
 *
 * @param job job that the piece belongs to
 * @param piece index of the piece
 * @param attempts number of earlier batches that failed to process the piece
 * @param submittedAt monotonic time of the submission, in milliseconds
 * @param waitingSince monotonic time at which the task was last queued, in milliseconds
 */
public record StageTask(StageJob job, int piece, int attempts, long submittedAt, long waitingSince) {

	StageTask nextAttempt(long now) {
		return new StageTask(this.job, this.piece, this.attempts + 1, this.submittedAt, now);
	}

	StageTask requeued(long now) {
		return new StageTask(this.job, this.piece, this.attempts, this.submittedAt, now);
	}

	PieceTimes times(long sentMillis, long now) {
		return new PieceTimes(sentMillis - this.waitingSince, now - sentMillis, this.waitingSince - this.submittedAt);
	}

}
