package org.magnoliahub.serving;

import java.util.List;

/**
 * What the endpoints of a stage service can do: pieces that calls carry, and room for
 * results. Both follow from the limits of the service, from the observed speed of its
 * endpoints, and from how long results were held.
 */
final class StageCapacity {

	/** An endpoint is not taken to be faster than this share of the expected time. */
	private static final double LEAST_SPEED_FACTOR = 0.3;

	/** Expected time that a result is held before one was given up. */
	private static final double FIRST_HELD_MILLIS = 600;

	private static final double SMOOTHING = 0.05;

	private double heldMillis = FIRST_HELD_MILLIS;

	/**
	 * Notes that a result was given up.
	 * @param millis time from its call's answer
	 */
	void held(long millis) {
		this.heldMillis += SMOOTHING * (Math.max(0, millis) - this.heldMillis);
	}

	/**
	 * Returns how many pieces the endpoints work off in full calls.
	 * @param endpoints the endpoints that get calls
	 * @param pool limits of the service
	 * @param now monotonic time, in milliseconds
	 * @return pieces in a millisecond
	 */
	static double piecesPerMilli(List<EndpointState> endpoints, StageLimits pool, long now) {
		double calls = 0;
		for (EndpointState endpoint : endpoints) {
			calls += 1 / Math.max(LEAST_SPEED_FACTOR, endpoint.speedFactor(now));
		}
		return calls * pool.maximumBatchSize() / pool.expectedMillis(pool.maximumBatchSize());
	}

	/**
	 * Returns how long results have to wait for room.
	 * @param endpoints number of endpoints
	 * @param pool limits of the service
	 * @param bytes room that results take which are held, made or waited for, in bytes
	 * @return milliseconds, zero if all of them have room
	 */
	double roomWaitMillis(int endpoints, StageLimits pool, long bytes) {
		double room = (double) endpoints * pool.resultCapacityBytes();
		if (bytes <= room) {
			return 0;
		}
		double occupied = this.heldMillis + pool.expectedMillis(pool.maximumBatchSize());
		return (bytes - room) * occupied / room;
	}

}
