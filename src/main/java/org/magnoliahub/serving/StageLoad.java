package org.magnoliahub.serving;

/**
 * State of the queue of a stage service, as its owner reports it to other gateways.
 *
 * @param waitMillis expected queueing time of a new piece, in milliseconds
 * @param capacityWaitMillis expected wait of a new piece with a large result for result
 * capacity, in milliseconds
 * @param pausedMillis time until the first requested pause ends if all endpoints of the
 * service requested one, in milliseconds; zero otherwise
 */
public record StageLoad(long waitMillis, long capacityWaitMillis, long pausedMillis) {

	/** Load of a queue for which no report has been received. */
	public static final StageLoad UNKNOWN = new StageLoad(0, 0, 0);

	/**
	 * Returns the expected wait of a new piece.
	 * @param large whether its result uses a large share of an endpoint's result capacity
	 * @return milliseconds
	 */
	public long waitMillis(boolean large) {
		return large ? Math.max(this.waitMillis, this.capacityWaitMillis) : this.waitMillis;
	}

}
