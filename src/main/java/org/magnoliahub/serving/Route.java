package org.magnoliahub.serving;

import java.util.List;
import java.util.Set;

/**
 * Maps requests by host and path prefix to services, and sets their timeouts, priority
 * and retry rules.
 *
 * @param name unique name
 * @param host value of the Host header, without a port
 * @param pathPrefix path prefix, begins and ends with a slash
 * @param kind kind of the requests, determines whether they can be retried
 * @param timeoutMillis maximum lifetime of a request, in milliseconds
 * @param latencyObjectiveMillis target time for a response or the first event of a
 * stream, in milliseconds
 * @param priority priority, zero is the most urgent
 * @param services weighted services that handle the requests
 * @param maximumEndpoints maximum number of endpoints that one request is sent to
 * @param stages stages that run before the request itself
 * @param anonymous whether requests need no API key
 * @param resumable whether an interrupted stream can be resumed at another endpoint
 * @param maximumEventGapMillis target for the longest gap between two events of a stream,
 * in milliseconds
 * @param allowedRegions regions in which the requests may be served, empty for all
 */
public record Route(String name, String host, String pathPrefix, CallKind kind, long timeoutMillis,
		long latencyObjectiveMillis, int priority, List<ServiceShare> services, int maximumEndpoints,
		List<RouteStage> stages, boolean anonymous, boolean resumable, long maximumEventGapMillis,
		Set<String> allowedRegions) {

	/** Minimum time that callers wait for the first event. */
	private static final long MINIMUM_FIRST_EVENT_TIMEOUT_MILLIS = 2_000;

	/** Multiple of the latency objective that callers wait for the first event. */
	private static final int TIMEOUT_OBJECTIVES = 4;

	/** Multiple of the maximum event gap that callers wait for the first event. */
	private static final int TIMEOUT_EVENT_GAPS = 8;

	/** Maximum time that the first event takes to reach the caller. */
	private static final long TRANSIT_MARGIN_MILLIS = 150;

	/**
	 * Creates a route with immutable copies of the lists.
	 */
	public Route {
		services = List.copyOf(services);
		stages = List.copyOf(stages);
		allowedRegions = Set.copyOf(allowedRegions);
	}

	/**
	 * Creates a route whose requests may be served in all regions.
	 */
	public Route(String name, String host, String pathPrefix, CallKind kind, long timeoutMillis,
			long latencyObjectiveMillis, int priority, List<ServiceShare> services, int maximumEndpoints,
			List<RouteStage> stages, boolean anonymous, boolean resumable, long maximumEventGapMillis) {
		this(name, host, pathPrefix, kind, timeoutMillis, latencyObjectiveMillis, priority, services, maximumEndpoints,
				stages, anonymous, resumable, maximumEventGapMillis, Set.of());
	}

	/**
	 * Returns whether a request can be retried although an endpoint may have executed it.
	 * @return whether the request is idempotent or its stream can be resumed
	 */
	public boolean isRetryable() {
		return this.kind == CallKind.IDEMPOTENT || (this.kind == CallKind.STREAMING && this.resumable);
	}

	/**
	 * Returns the time by which the first event of a stream must be sent, before the
	 * caller stops waiting for it.
	 * @return milliseconds from the arrival of the request; the request timeout for other
	 * kinds of requests
	 */
	public long firstEventTimeoutMillis() {
		if (this.kind != CallKind.STREAMING) {
			return this.timeoutMillis;
		}
		long timeout = Math.max(MINIMUM_FIRST_EVENT_TIMEOUT_MILLIS, TIMEOUT_OBJECTIVES * this.latencyObjectiveMillis);
		return Math.max(timeout, TIMEOUT_EVENT_GAPS * this.maximumEventGapMillis) - TRANSIT_MARGIN_MILLIS;
	}

	/**
	 * Selects the service for a request in proportion to the weights.
	 * @param hash hash of the request id
	 * @return name of the service
	 */
	public String selectService(long hash) {
		double total = 0;
		for (ServiceShare share : this.services) {
			total += share.weight();
		}
		double remaining = (hash >>> 11) * 0x1.0p-53 * total;
		for (ServiceShare share : this.services) {
			remaining -= share.weight();
			if (remaining < 0) {
				return share.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
