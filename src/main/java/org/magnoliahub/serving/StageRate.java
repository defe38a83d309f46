package org.magnoliahub.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many pieces a second the endpoints of a stage service do while pieces wait. The
 * limits in the configuration overstate it, because results hold room.
 */
final class StageRate {

	/** Span over which pieces are counted. */
	private static final long SPAN_MILLIS = 1_500;

	/** Part of the configured rate that is expected before a full span was seen. */
	private static final double FIRST_SHARE = 0.6;

	private static final double SMOOTHING = 0.1;

	private final Deque<Done> done = new ArrayDeque<>();

	private long idleAt = Long.MIN_VALUE / 2;

	private double perSecond;

	/**
	 * Notes that no piece waits.
	 * @param now monotonic time, in milliseconds
	 */
	void idle(long now) {
		this.idleAt = now;
	}

	/**
	 * Notes the pieces of a call that ended.
	 * @param pieces number of pieces
	 * @param now monotonic time, in milliseconds
	 */
	void done(int pieces, long now) {
		this.done.addLast(new Done(now, pieces));
		while (this.done.peekFirst() != null && this.done.peekFirst().at() <= now - SPAN_MILLIS) {
			this.done.pollFirst();
		}
		if (now - this.idleAt < SPAN_MILLIS) {
			return;
		}
		int total = this.done.stream().mapToInt(Done::pieces).sum();
		double seen = 1_000.0 * total / SPAN_MILLIS;
		this.perSecond = (this.perSecond == 0) ? seen : this.perSecond + SMOOTHING * (seen - this.perSecond);
	}

	/**
	 * Returns the rate.
	 * @param configured rate that follows from the configuration, in pieces a second
	 * @return pieces a second
	 */
	double perSecond(double configured) {
		return (this.perSecond == 0) ? FIRST_SHARE * configured : Math.min(configured, this.perSecond);
	}

	private record Done(long at, int pieces) {
	}

}
