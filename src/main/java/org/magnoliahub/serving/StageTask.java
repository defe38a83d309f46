package org.magnoliahub.serving;

/**
 * One piece that waits for or is part of a call.
 *
 * @param job the submission it belongs to
 * @param piece index of the piece
 * @param attempts calls that it was part of before
 * @param submittedAt monotonic time of its submission, in milliseconds
 * @param waitingSince monotonic time since which it waits, in milliseconds
 */
public record StageTask(StageJob job, int piece, int attempts, long submittedAt, long waitingSince) {

	StageTask again(long now) {
		return new StageTask(this.job, this.piece, this.attempts + 1, this.submittedAt, now);
	}

	StageTask withoutRoom(long now) {
		return new StageTask(this.job, this.piece, this.attempts, this.submittedAt, now);
	}

	PieceTimes times(long sentMillis, long now) {
		return new PieceTimes(sentMillis - this.waitingSince, now - sentMillis, this.waitingSince - this.submittedAt);
	}

}
