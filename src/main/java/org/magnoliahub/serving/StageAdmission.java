package org.magnoliahub.serving;

/**
 * Admission control for the stages of a request, decided on its arrival. It sheds load in
 * bursts that exceed the capacity of the stage endpoints.
 * <p>
 * A request is admitted if it can meet its latency objective behind the queued pieces.
 * Other requests are refused at once, so that their callers retry after the burst: if
 * they were held until the queue is short, newer requests would keep filling it, and they
 * would be refused seconds later. Less urgent requests are refused at shorter queues, so
 * that a burst of one class does not displace more urgent ones.
 */
public final class StageAdmission {

	/** Wait up to which any request is admitted that can complete before its timeout. */
	private static final long SHORT_WAIT_MILLIS = 250;

	/**
	 * Relative increase of the weighted wait per priority level below the most urgent.
	 */
	private static final double PRIORITY_WEIGHT = 0.5;

	private StageAdmission() {
	}

	/**
	 * Decides whether the stages of a request are run.
	 * @param estimate estimated and permitted times of the request
	 * @return whether to run the stages; otherwise the request is refused
	 */
	public static boolean isAdmitted(Estimate estimate) {
		if (estimate.waitMillis() + estimate.minimumChainMillis() > estimate.callerTimeoutMillis()) {
			return false;
		}
		if (estimate.waitMillis() <= SHORT_WAIT_MILLIS) {
			return true;
		}
		double weightedWait = estimate.waitMillis() * (1 + PRIORITY_WEIGHT * estimate.priority());
		return weightedWait + estimate.chainMillis() <= estimate.objectiveMillis();
	}

	/**
	 * Estimated and permitted times of a request, in milliseconds from now.
	 *
	 * @param waitMillis expected queueing time of the pieces in the longest chain of
	 * stages
	 * @param chainMillis duration of that chain without queueing and of the request up to
	 * its first event, with full batches
	 * @param minimumChainMillis duration of that chain without queueing, with batches
	 * that contain only the pieces of this request
	 * @param objectiveMillis time until the latency objective
	 * @param callerTimeoutMillis time until the caller stops waiting
	 * @param priority priority of the route, zero is the most urgent
	 */
	public record Estimate(long waitMillis, long chainMillis, long minimumChainMillis, long objectiveMillis,
			long callerTimeoutMillis, int priority) {
	}

}
