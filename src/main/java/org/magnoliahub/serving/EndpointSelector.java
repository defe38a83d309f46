package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.magnoliahub.balancing.LoadCost;
import org.magnoliahub.placement.AllowedZones;

/**
 * Selects the endpoint with the lowest expected response time. Endpoints that fail, are
 * slow or do not respond lose traffic at once, and regain it as the recorded failures and
 * slowdowns decay.
 */
public final class EndpointSelector {

	/** Expected duration of a request until the first one has completed. */
	private static final double INITIAL_REQUEST_MILLIS = 60;

	/** Prompt tokens per millisecond that an engine of typical speed processes. */
	private static final double PROMPT_TOKENS_PER_MILLISECOND = 60;

	/** Time to the first event of an engine, without processing of the prompt. */
	private static final double BASE_FIRST_EVENT_MILLIS = 45;

	/** Minimum length of a last prefix segment for which a preferred engine is chosen. */
	private static final int MINIMUM_PREFIX_TOKENS = 256;

	/** Cost of an endpoint in another zone than the gateway. */
	private static final double CROSS_ZONE_MILLIS = 3;

	/** Cost of the transfer of one byte of stage results between zones. */
	private static final double CROSS_ZONE_MILLIS_PER_BYTE = 25e-6;

	/** Cost of each prefix token that is not cached, besides its processing time. */
	private static final double CACHE_MISS_MILLIS_PER_TOKEN = 0.045;

	/** Minimum wait for a response after which an endpoint can be unresponsive. */
	private static final long MINIMUM_REQUEST_WAIT_MILLIS = 250;

	/** Minimum wait for a response after which an engine can be unresponsive. */
	private static final long MINIMUM_ENGINE_WAIT_MILLIS = 500;

	/** Delay of a request to an engine that has all slots in use. */
	private static final double QUEUEING_MILLIS_TO_FULL = 60;

	/** Further delay for each time that the waiting requests would fill all slots. */
	private static final double QUEUEING_MILLIS_PER_OVERLOAD = 1_000;

	private static final double SMOOTHING = 0.05;

	private final EndpointDirectory directory;

	private final String gatewayZone;

	private final RandomGenerator random;

	private final Map<String, Double> typicalMillis = new HashMap<>();

	private final Map<String, Double> longestMillis = new HashMap<>();

	private int gatewayCount = 1;

	/**
	 * Creates a selector.
	 * @param directory endpoints to select from
	 * @param gatewayZone zone of this gateway
	 * @param random random generator that breaks ties
	 */
	public EndpointSelector(EndpointDirectory directory, String gatewayZone, RandomGenerator random) {
		this.directory = directory;
		this.gatewayZone = gatewayZone;
		this.random = random;
	}

	/**
	 * Sets the number of gateways that send requests to the same endpoints.
	 * @param count number of gateways, including this one
	 */
	public void setGatewayCount(int count) {
		this.gatewayCount = Math.max(1, count);
	}

	/**
	 * Selects an endpoint of a service that is not a model engine.
	 * @param service name of the service
	 * @param tried ids of the endpoints that already received the request
	 * @param now monotonic time, in milliseconds
	 * @return the endpoint, or empty if none is available
	 */
	public Optional<EndpointChoice> selectEndpoint(String service, Set<String> tried, long now) {
		return selectEndpoint(service, tried, AllowedZones.ALL, now);
	}

	/**
	 * Selects an endpoint of a service that is not a model engine.
	 * @param service name of the service
	 * @param tried ids of the endpoints that already received the request
	 * @param zones zones in which the request may be served
	 * @param now monotonic time, in milliseconds
	 * @return the endpoint, or empty if none is available
	 */
	public Optional<EndpointChoice> selectEndpoint(String service, Set<String> tried, AllowedZones zones, long now) {
		double typical = this.typicalMillis.getOrDefault(service, INITIAL_REQUEST_MILLIS);
		List<EndpointState> candidates = this.directory.availableEndpoints(service, zones, now);
		if (BalancedSelection.isInUse(candidates, now)) {
			return balancedEndpoint(candidates, typical, tried, now);
		}
		EndpointChoice best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointState endpoint : candidates) {
			if (tried.contains(endpoint.record().id())) {
				continue;
			}
			double expected = typical * endpoint.slowdown(now);
			double queueing = expected * endpoint.occupancy(now, this.gatewayCount)
					/ Math.max(1, endpoint.record().slots());
			double cost = penalizedCost(endpoint, expected + queueing, MINIMUM_REQUEST_WAIT_MILLIS, now)
					+ zoneCost(endpoint);
			cost += this.random.nextDouble();
			if (cost < bestCost) {
				bestCost = cost;
				best = new EndpointChoice(endpoint, typical, 0, cost);
			}
		}
		return Optional.ofNullable(best);
	}

	private Optional<EndpointChoice> balancedEndpoint(List<EndpointState> candidates, double typical, Set<String> tried,
			long now) {
		BalancedSelection selection = new BalancedSelection(LoadCost.linear(Math.max(1, typical)), this.gatewayCount,
				now);
		for (EndpointState endpoint : candidates) {
			if (!tried.contains(endpoint.record().id())) {
				double cost = penalizedCost(endpoint, typical, MINIMUM_REQUEST_WAIT_MILLIS, now) + zoneCost(endpoint);
				selection.add(endpoint, typical, 0, cost);
			}
		}
		return selection.select(this.random);
	}

	/**
	 * Records the duration of a request to an endpoint that is not a model engine.
	 * @param service name of the service
	 * @param millis time from sending the request to the response, in milliseconds
	 */
	public void recordLatency(String service, double millis) {
		double typical = this.typicalMillis.getOrDefault(service, INITIAL_REQUEST_MILLIS);
		this.typicalMillis.put(service, typical + SMOOTHING * (Math.min(millis, 10 * typical) - typical));
		double longest = this.longestMillis.getOrDefault(service, 0.0);
		this.longestMillis.put(service, Math.max(millis, longest + SMOOTHING * (millis - longest)));
	}

	/**
	 * Returns how long requests to an endpoint that is not a model engine take at most.
	 * @param service name of the service
	 * @return the longest recent time to a response, in milliseconds, zero if none is
	 * known
	 */
	public long longestMillis(String service) {
		return this.longestMillis.getOrDefault(service, 0.0).longValue();
	}

	/**
	 * Selects a model engine. The engine that rendezvous hashing assigns to the prompt
	 * prefix is assumed to cache it, so that all gateways send requests with the same
	 * prefix to the same engine.
	 * @param service name of the service
	 * @param request request of the caller
	 * @param inputZones bytes of input stage results by zone
	 * @param tried ids of the endpoints that already received the request
	 * @param now monotonic time, in milliseconds
	 * @return the engine, or empty if none is available
	 */
	public Optional<EndpointChoice> selectEngine(String service, CallerRequest request, Map<String, Long> inputZones,
			Set<String> tried, long now) {
		return selectEngine(service, request, inputZones, tried, AllowedZones.ALL, now);
	}

	/**
	 * Selects a model engine in some zones.
	 * @param service name of the service
	 * @param request request of the caller
	 * @param inputZones bytes of input stage results by zone
	 * @param tried ids of the endpoints that already received the request
	 * @param zones zones in which the request may be served
	 * @param now monotonic time, in milliseconds
	 * @return the engine, or empty if none is available
	 */
	public Optional<EndpointChoice> selectEngine(String service, CallerRequest request, Map<String, Long> inputZones,
			Set<String> tried, AllowedZones zones, long now) {
		List<EndpointState> candidates = this.directory.availableEndpoints(service, zones, now);
		String preferredId = preferredEngineId(request, candidates, now);
		int prefixTokens = prefixTokens(request);
		BalancedSelection balanced = BalancedSelection.isInUse(candidates, now) ? new BalancedSelection(
				new LoadCost(QUEUEING_MILLIS_TO_FULL, QUEUEING_MILLIS_PER_OVERLOAD), this.gatewayCount, now) : null;
		EndpointChoice best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointState endpoint : candidates) {
			if (tried.contains(endpoint.record().id())) {
				continue;
			}
			int cachedTokens = endpoint.promptCache().cachedPrefixTokens(request.promptSegments());
			if (cachedTokens < prefixTokens && endpoint.record().id().equals(preferredId)) {
				cachedTokens = prefixTokens;
			}
			int uncachedTokens = Math.max(0, request.promptTokens() - cachedTokens);
			double expected = BASE_FIRST_EVENT_MILLIS
					+ (endpoint.uncachedTokens() + uncachedTokens) / PROMPT_TOKENS_PER_MILLISECOND;
			double missMillis = Math.max(0, prefixTokens - cachedTokens) * CACHE_MISS_MILLIS_PER_TOKEN;
			if (balanced != null) {
				double fixedCost = penalizedCost(endpoint, expected + missMillis, MINIMUM_ENGINE_WAIT_MILLIS, now)
						+ zoneCost(endpoint) + inputTransferCost(endpoint, inputZones);
				balanced.add(endpoint, expected, uncachedTokens, fixedCost);
				continue;
			}
			double utilization = endpoint.occupancy(now, this.gatewayCount) / Math.max(1, endpoint.record().slots());
			double total = expected * endpoint.slowdown(now) + queueingMillis(utilization) + missMillis;
			double cost = penalizedCost(endpoint, total, MINIMUM_ENGINE_WAIT_MILLIS, now) + zoneCost(endpoint)
					+ inputTransferCost(endpoint, inputZones) + this.random.nextDouble();
			if (cost < bestCost) {
				bestCost = cost;
				best = new EndpointChoice(endpoint, expected, uncachedTokens, cost);
			}
		}
		return (balanced != null) ? balanced.select(this.random) : Optional.ofNullable(best);
	}

	/**
	 * Returns the zone of the engine that a request would be sent to now.
	 * @param service name of the service
	 * @param request request of the caller
	 * @param zones zones in which the request may be served
	 * @param now monotonic time, in milliseconds
	 * @return the zone, empty if no engine is available
	 */
	public String expectedEngineZone(String service, CallerRequest request, AllowedZones zones, long now) {
		return selectEngine(service, request, Map.of(), Set.of(), zones, now)
			.map((choice) -> choice.endpoint().record().availabilityZone())
			.orElse("");
	}

	private static double queueingMillis(double utilization) {
		return (utilization < 1) ? QUEUEING_MILLIS_TO_FULL * utilization
				: QUEUEING_MILLIS_TO_FULL + QUEUEING_MILLIS_PER_OVERLOAD * (utilization - 1);
	}

	private static int prefixTokens(CallerRequest request) {
		int tokens = 0;
		for (int index = 0; index < request.promptSegments().size() - 1; index++) {
			tokens += request.promptSegments().get(index).tokens();
		}
		return tokens;
	}

	private String preferredEngineId(CallerRequest request, List<EndpointState> candidates, long now) {
		int last = request.promptSegments().size() - 2;
		if (last < 0 || request.promptSegments().get(last).tokens() < MINIMUM_PREFIX_TOKENS) {
			return "";
		}
		String key = request.promptSegments().get(last).id();
		Set<String> names = new HashSet<>();
		for (EndpointState endpoint : candidates) {
			if (!endpoint.isEjected(now)) {
				names.add(endpoint.record().id());
			}
		}
		List<String> ranked = RendezvousHash.rank(key, names);
		return ranked.isEmpty() ? "" : ranked.get(0);
	}

	private double penalizedCost(EndpointState endpoint, double millis, long minimumWaitMillis, long now) {
		double cost = millis / Math.max(0.05, 1 - endpoint.failureRate(now));
		if (endpoint.isEjected(now)) {
			cost += 100_000;
		}
		if (endpoint.isUnresponsive(now, minimumWaitMillis)) {
			cost += 50_000;
		}
		return cost;
	}

	private double zoneCost(EndpointState endpoint) {
		return endpoint.record().availabilityZone().equals(this.gatewayZone) ? 0 : CROSS_ZONE_MILLIS;
	}

	private static double inputTransferCost(EndpointState endpoint, Map<String, Long> inputZones) {
		double cost = 0;
		for (Map.Entry<String, Long> input : inputZones.entrySet()) {
			if (!input.getKey().equals(endpoint.record().availabilityZone())) {
				cost += input.getValue() * CROSS_ZONE_MILLIS_PER_BYTE;
			}
		}
		return cost;
	}

}
