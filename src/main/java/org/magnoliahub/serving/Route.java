package org.magnoliahub.serving;

import java.util.List;

/**
 * A route of the configuration.
 *
 * @param name unique name
 * @param host host that callers name
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request is kept, in milliseconds
 * @param latencyObjectiveMillis time within which an answer has its full worth, in
 * milliseconds
 * @param priority rank, zero is the most urgent
 * @param services services that take the requests, with weights
 * @param maximumEndpoints most endpoints that one request is sent to
 * @param stages stages that come before a request runs
 * @param anonymous whether requests need no key
 * @param resumable whether a stream may go on at another endpoint
 * @param maximumEventGapMillis longest pause within a stream that is in time, in
 * milliseconds
 */
public record Route(String name, String host, String pathPrefix, CallKind kind, long timeoutMillis,
		long latencyObjectiveMillis, int priority, List<ServiceShare> services, int maximumEndpoints,
		List<RouteStage> stages, boolean anonymous, boolean resumable, long maximumEventGapMillis) {

	/** Callers wait at least this long for the first event of a stream. */
	private static final long LEAST_PATIENCE_MILLIS = 2_000;

	private static final int PATIENCE_OBJECTIVES = 4;

	private static final int PATIENCE_PAUSES = 8;

	/** Time that the way of the first event takes at the most. */
	private static final long PATIENCE_MARGIN_MILLIS = 150;

	/**
	 * Copies the lists.
	 */
	public Route {
		services = List.copyOf(services);
		stages = List.copyOf(stages);
	}

	/**
	 * Returns whether a request that may have run can be sent again.
	 * @return whether its effect may be repeated
	 */
	public boolean isRetryable() {
		return this.kind == CallKind.IDEMPOTENT || (this.kind == CallKind.STREAMING && this.resumable);
	}

	/**
	 * Returns how long callers wait for the first event of a stream.
	 * @return milliseconds from the arrival of the request, or the timeout for other
	 * kinds
	 */
	public long firstEventTimeoutMillis() {
		if (this.kind != CallKind.STREAMING) {
			return this.timeoutMillis;
		}
		long patience = Math.max(LEAST_PATIENCE_MILLIS, PATIENCE_OBJECTIVES * this.latencyObjectiveMillis);
		return Math.max(patience, PATIENCE_PAUSES * this.maximumEventGapMillis) - PATIENCE_MARGIN_MILLIS;
	}

	/**
	 * Picks the service for a request in proportion to the weights.
	 * @param hash hash of the request's id
	 * @return the service
	 */
	public String selectService(long hash) {
		double total = 0;
		for (ServiceShare share : this.services) {
			total += share.weight();
		}
		double point = (hash >>> 11) * 0x1.0p-53 * total;
		for (ServiceShare share : this.services) {
			point -= share.weight();
			if (point < 0) {
				return share.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
