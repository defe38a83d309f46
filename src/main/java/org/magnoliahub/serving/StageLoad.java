package org.magnoliahub.serving;

/**
 * What the gateway that forms a service's calls says of its queue.
 *
 * @param waitMillis expected wait of a new piece for a call, in milliseconds
 * @param capacityWaitMillis expected wait of a new piece with a large result for room, in
 * milliseconds
 * @param pausedMillis time until an endpoint of the service takes a call, if all of them
 * asked for a pause; zero otherwise
 */
public record StageLoad(long waitMillis, long capacityWaitMillis, long pausedMillis) {

	/** A queue of which nothing is known. */
	public static final StageLoad UNKNOWN = new StageLoad(0, 0, 0);

	/**
	 * Returns the expected wait of a piece.
	 * @param large whether its result takes much of an endpoint's room
	 * @return milliseconds
	 */
	public long waitMillis(boolean large) {
		return large ? Math.max(this.waitMillis, this.capacityWaitMillis) : this.waitMillis;
	}

}
