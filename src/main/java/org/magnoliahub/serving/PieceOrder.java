package org.magnoliahub.serving;

import java.util.Collection;
import java.util.Comparator;

/**
 * Order in which queued pieces are put into batches: those that can still meet their
 * latency objective by the time at which they have to start, then late ones.
 */
final class PieceOrder {

	/** Time that each priority level below the most urgent adds to the start deadline. */
	private static final long PRIORITY_STEP_MILLIS = 300;

	/** Time that a transfer between zones adds to the start deadline. */
	private static final long CROSS_ZONE_MILLIS = 250;

	/**
	 * Time added to the start deadline of late pieces, to sort them behind all others.
	 */
	private static final long LATE_PENALTY_MILLIS = 1_000_000;

	private PieceOrder() {
	}

	/**
	 * Returns the order for an endpoint.
	 * @param zone zone of the endpoint
	 * @param now monotonic time, in milliseconds
	 * @return the order, the most urgent piece first
	 */
	static Comparator<StageTask> inZone(String zone, long now) {
		return Comparator.comparingLong((task) -> urgencyKey(task.job(), zone, now));
	}

	/**
	 * Returns the zone that the most urgent piece prefers.
	 * @param tasks queued pieces
	 * @param now monotonic time, in milliseconds
	 * @return the zone, empty if the piece prefers none or there is none
	 */
	static String mostUrgentZone(Collection<StageTask> tasks, long now) {
		return tasks.stream()
			.min(Comparator.comparingLong((task) -> urgencyKey(task.job(), task.job().zonePreference().zone(), now)))
			.map((task) -> task.job().zonePreference().zone())
			.orElse("");
	}

	private static long urgencyKey(StageJob job, String zone, long now) {
		long key = job.startDeadline() + PRIORITY_STEP_MILLIS * job.priority();
		if (job.zonePreference().isOtherZone(zone)) {
			key += CROSS_ZONE_MILLIS;
		}
		// Large inputs occupy result capacity that other requests need.
		if (!job.largeInputs() && job.startDeadline() < now) {
			key += LATE_PENALTY_MILLIS;
		}
		return key;
	}

}
