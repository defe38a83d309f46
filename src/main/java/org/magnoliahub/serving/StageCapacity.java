package org.magnoliahub.serving;

import java.util.List;

/**
 * Estimates the throughput of a stage service and the wait for its result capacity, from
 * the limits of the service, the observed slowdown of its endpoints, and the observed
 * storage time of results.
 */
final class StageCapacity {

	/** Lower bound on the slowdown of an endpoint in throughput estimates. */
	private static final double MINIMUM_SLOWDOWN = 0.3;

	/** Assumed storage time of a result until the first one has been released. */
	private static final double INITIAL_STORAGE_MILLIS = 600;

	/**
	 * Share of the result capacity that is occupied under load. The next batch of an
	 * endpoint can use capacity that is released during a batch only after its end.
	 */
	private static final double USABLE_SHARE = 0.8;

	private static final double SMOOTHING = 0.05;

	private double meanStorageMillis = INITIAL_STORAGE_MILLIS;

	private double observedStorageMillis;

	/**
	 * Records the storage time of a released result.
	 * @param millis time from the response that contained the result to its release
	 */
	void recordStorageTime(long millis) {
		this.meanStorageMillis += SMOOTHING * (Math.max(0, millis) - this.meanStorageMillis);
	}

	/**
	 * Records the storage time of a released result of any size.
	 * @param millis time from the response that contained the result to its release
	 */
	void observeStorageTime(long millis) {
		this.observedStorageMillis += SMOOTHING * (Math.max(0, millis) - this.observedStorageMillis);
	}

	/**
	 * Returns the mean storage time of results of any size.
	 * @return milliseconds
	 */
	double observedStorageMillis() {
		return this.observedStorageMillis;
	}

	/**
	 * Returns the throughput of the endpoints with full batches.
	 * @param endpoints endpoints that receive batches
	 * @param limits limits of the service
	 * @param now monotonic time, in milliseconds
	 * @return pieces per millisecond
	 */
	static double piecesPerMillisecond(List<EndpointState> endpoints, StageLimits limits, long now) {
		double batches = 0;
		for (EndpointState endpoint : endpoints) {
			batches += 1 / Math.max(MINIMUM_SLOWDOWN, endpoint.slowdown(now));
		}
		return batches * limits.maximumBatchSize() / limits.expectedMillis(limits.maximumBatchSize());
	}

	/**
	 * Returns the expected wait for result capacity. Each result occupies capacity from
	 * the start of its batch until it is released.
	 * @param endpoints number of endpoints
	 * @param limits limits of the service
	 * @param bytes total size of the results that are stored, in production or queued, in
	 * bytes
	 * @return milliseconds, zero if the usable capacity holds all of them
	 */
	double capacityWaitMillis(int endpoints, StageLimits limits, long bytes) {
		double usable = USABLE_SHARE * endpoints * limits.resultCapacityBytes();
		double occupancyMillis = this.meanStorageMillis + limits.expectedMillis(limits.maximumBatchSize());
		return Math.max(0, bytes - usable) * occupancyMillis / usable;
	}

}
