package org.magnoliahub.serving;

/**
 * Decides at the arrival of a request whether its stages start. It answers bursts that
 * exceed what the stage endpoints can do.
 * <p>
 * A request starts if it can be in time behind the pieces that wait. Others are refused
 * at once, so that their callers come back after the burst: a request that waits for a
 * short queue does not get one while newer requests fill it, and ends refused after
 * seconds. The lower the rank of a route, the earlier its requests give way, so that a
 * burst of one class does not push more urgent ones out.
 */
public final class StageAdmission {

	/** Queues with less wait than this take any request that can still be done. */
	private static final long SHORT_WAIT_MILLIS = 250;

	/** How much each rank below the most urgent one adds to the wait that counts. */
	private static final double RANK_SHARE = 0.5;

	private StageAdmission() {
	}

	/**
	 * Decides on a request.
	 * @param request the request
	 * @return whether its stages start now; it is refused otherwise
	 */
	public static boolean isAdmitted(Estimate request) {
		if (request.waitMillis() + request.minimumChainMillis() > request.callerTimeoutMillis()) {
			return false;
		}
		if (request.waitMillis() <= SHORT_WAIT_MILLIS) {
			return true;
		}
		double weighed = request.waitMillis() * (1 + RANK_SHARE * request.priority());
		return weighed + request.chainMillis() <= request.objectiveMillis();
	}

	/**
	 * What the decision is made of; all times in milliseconds from now.
	 *
	 * @param waitMillis wait of new pieces in the queues of the longest chain of stages
	 * @param chainMillis time of that chain without waits, with full calls
	 * @param minimumChainMillis time of that chain without waits, with calls of its own
	 * pieces
	 * @param objectiveMillis time left for the latency objective
	 * @param callerTimeoutMillis time until the caller leaves
	 * @param priority rank of the route, zero is the most urgent
	 */
	public record Estimate(long waitMillis, long chainMillis, long minimumChainMillis, long objectiveMillis,
			long callerTimeoutMillis, int priority) {
	}

}
