package org.magnoliahub.serving;

import java.util.List;

/**
 * Healthy endpoints of a stage service.
 *
 * @param endpoints available endpoints that are neither ejected nor unresponsive
 * @param typicalSpeedCount number of these endpoints that are not slow
 */
record HealthyEndpoints(List<EndpointState> endpoints, int typicalSpeedCount) {

	/** Minimum wait for a response after which an endpoint can be unresponsive. */
	private static final long MINIMUM_WAIT_MILLIS = 900;

	/** Slowdown from which an endpoint receives batches only if the queue is long. */
	private static final double SLOW_THRESHOLD = 1.6;

	/** Added to the slowdown of a free endpoint outside the preferred zone. */
	private static final double CROSS_ZONE_SLOWDOWN = 0.35;

	static HealthyEndpoints of(List<EndpointState> available, long now) {
		List<EndpointState> healthy = filterHealthy(available, now);
		int typicalSpeedCount = (int) healthy.stream().filter((endpoint) -> !isSlow(endpoint, now)).count();
		return new HealthyEndpoints(healthy, typicalSpeedCount);
	}

	static List<EndpointState> filterHealthy(List<EndpointState> available, long now) {
		return available.stream().filter((endpoint) -> isHealthy(endpoint, now)).toList();
	}

	private static boolean isHealthy(EndpointState endpoint, long now) {
		return !endpoint.isEjected(now) && !endpoint.isUnresponsive(now, MINIMUM_WAIT_MILLIS);
	}

	private static boolean isSlow(EndpointState endpoint, long now) {
		return endpoint.slowdown(now) >= SLOW_THRESHOLD;
	}

	/**
	 * Returns whether an endpoint may receive a batch.
	 * @param endpoint one of the healthy endpoints
	 * @param waiting number of queued pieces
	 * @param batchSize maximum number of pieces of a batch
	 * @param now monotonic time, in milliseconds
	 * @return whether the endpoint is not slow, or the queue fills a batch for each
	 * endpoint of typical speed
	 */
	boolean mayReceiveBatch(EndpointState endpoint, int waiting, int batchSize, long now) {
		return !isSlow(endpoint, now) || waiting >= this.typicalSpeedCount * batchSize;
	}

	/**
	 * Returns the cost of sending a batch to a free endpoint.
	 * @param endpoint the endpoint
	 * @param zone preferred zone, empty for none
	 * @param now monotonic time, in milliseconds
	 * @return the cost; the endpoint with the lowest one comes first
	 */
	static double cost(EndpointState endpoint, String zone, long now) {
		boolean crossZone = !zone.isEmpty() && !zone.equals(endpoint.record().availabilityZone());
		return endpoint.slowdown(now) / Math.max(0.05, 1 - endpoint.failureRate(now))
				+ (crossZone ? CROSS_ZONE_SLOWDOWN : 0);
	}

}
