package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint that is expected to answer first. Endpoints that fail, are silent
 * or slow lose traffic at once and regain it as their marks fade.
 */
public final class EndpointSelector {

	/** Expected time of a plain request before any was seen. */
	private static final double FIRST_PLAIN_MILLIS = 60;

	/** Prompt tokens that an engine of usual speed reads in a millisecond. */
	private static final double PROMPT_TOKENS_PER_MILLI = 60;

	/** Time to the first event of an engine, without reading the prompt. */
	private static final double FIRST_EVENT_MILLIS = 45;

	/** Shared parts shorter than this are read again rather than looked for. */
	private static final int SHORTEST_SHARED_TOKENS = 256;

	private static final double OTHER_ZONE_MILLIS = 3;

	/** Time that moving one byte of stage results between zones is worth. */
	private static final double OTHER_ZONE_MILLIS_PER_BYTE = 25e-6;

	/**
	 * Time that not reading a shared token again is worth, besides the time to read it.
	 */
	private static final double READ_AGAIN_MILLIS_PER_TOKEN = 0.045;

	private static final long PLAIN_SILENCE_MILLIS = 250;

	private static final long ENGINE_SILENCE_MILLIS = 500;

	private static final double SMOOTHING = 0.05;

	private final EndpointDirectory directory;

	private final String ownZone;

	private final RandomGenerator random;

	private final Map<String, Double> plainMillis = new HashMap<>();

	private int gateways = 1;

	/**
	 * Creates a selector.
	 * @param directory the endpoints
	 * @param ownZone the zone of this gateway
	 * @param random source of ties
	 */
	public EndpointSelector(EndpointDirectory directory, String ownZone, RandomGenerator random) {
		this.directory = directory;
		this.ownZone = ownZone;
		this.random = random;
	}

	/**
	 * Sets the number of gateways that send to the same endpoints.
	 * @param count number of gateways, this one included
	 */
	public void setGatewayCount(int count) {
		this.gateways = Math.max(1, count);
	}

	/**
	 * Chooses an endpoint for a plain request.
	 * @param service the service
	 * @param tried ids of endpoints that had the request
	 * @param now monotonic time, in milliseconds
	 * @return the endpoint, or empty if none may get the request
	 */
	public Optional<EndpointChoice> selectEndpoint(String service, Set<String> tried, long now) {
		double usual = this.plainMillis.getOrDefault(service, FIRST_PLAIN_MILLIS);
		EndpointChoice best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointState endpoint : this.directory.availableEndpoints(service, now)) {
			if (tried.contains(endpoint.record().id())) {
				continue;
			}
			double expected = usual * endpoint.speedFactor(now);
			double queue = expected * endpoint.occupancy(now, this.gateways) / Math.max(1, endpoint.record().slots());
			double cost = penalised(endpoint, expected + queue, PLAIN_SILENCE_MILLIS, now) + zoneCost(endpoint);
			cost += this.random.nextDouble();
			if (cost < bestCost) {
				bestCost = cost;
				best = new EndpointChoice(endpoint, usual, 0, cost);
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Notes how long a plain request took.
	 * @param service the service
	 * @param millis time from sending to the answer
	 */
	public void recordLatency(String service, double millis) {
		double usual = this.plainMillis.getOrDefault(service, FIRST_PLAIN_MILLIS);
		this.plainMillis.put(service, usual + SMOOTHING * (Math.min(millis, 10 * usual) - usual));
	}

	/**
	 * Chooses an engine.
	 * @param service the service
	 * @param request the caller's request
	 * @param inputZones bytes of stage results by the zone that holds them
	 * @param tried ids of endpoints that had the request
	 * @param now monotonic time, in milliseconds
	 * @return the endpoint, or empty if none may get the request
	 */
	public Optional<EndpointChoice> selectEngine(String service, CallerRequest request, Map<String, Long> inputZones,
			Set<String> tried, long now) {
		List<EndpointState> candidates = this.directory.availableEndpoints(service, now);
		String preferred = preferred(request, candidates, now);
		int shared = sharedTokens(request);
		EndpointChoice best = null;
		double bestCost = Double.MAX_VALUE;
		for (EndpointState endpoint : candidates) {
			if (tried.contains(endpoint.record().id())) {
				continue;
			}
			int cached = endpoint.promptCache().cachedPrefixTokens(request.promptSegments());
			if (cached < shared && endpoint.record().id().equals(preferred)) {
				cached = shared;
			}
			int unread = Math.max(0, request.promptTokens() - cached);
			double expected = FIRST_EVENT_MILLIS + (endpoint.uncachedTokens() + unread) / PROMPT_TOKENS_PER_MILLI;
			double crowd = endpoint.occupancy(now, this.gateways) / Math.max(1, endpoint.record().slots());
			double total = expected * endpoint.speedFactor(now) + crowdMillis(crowd)
					+ Math.max(0, shared - cached) * READ_AGAIN_MILLIS_PER_TOKEN;
			double cost = penalised(endpoint, total, ENGINE_SILENCE_MILLIS, now) + zoneCost(endpoint)
					+ inputCost(endpoint, inputZones) + this.random.nextDouble();
			if (cost < bestCost) {
				bestCost = cost;
				best = new EndpointChoice(endpoint, expected, unread, cost);
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns the zone of the engine that a request will probably go to.
	 * @param service the service
	 * @param request the caller's request
	 * @param now monotonic time, in milliseconds
	 * @return the zone, empty if no engine is usable
	 */
	public String expectedEngineZone(String service, CallerRequest request, long now) {
		return selectEngine(service, request, Map.of(), Set.of(), now)
			.map((choice) -> choice.endpoint().record().availabilityZone())
			.orElse("");
	}

	private static double crowdMillis(double crowd) {
		return (crowd < 1) ? 60 * crowd : 60 + 1_000 * (crowd - 1);
	}

	private static int sharedTokens(CallerRequest request) {
		int tokens = 0;
		for (int index = 0; index < request.promptSegments().size() - 1; index++) {
			tokens += request.promptSegments().get(index).tokens();
		}
		return tokens;
	}

	private String preferred(CallerRequest request, List<EndpointState> candidates, long now) {
		int last = request.promptSegments().size() - 2;
		if (last < 0 || request.promptSegments().get(last).tokens() < SHORTEST_SHARED_TOKENS) {
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

	private double penalised(EndpointState endpoint, double millis, long silenceMillis, long now) {
		double cost = millis / Math.max(0.05, 1 - endpoint.failureShare(now));
		if (endpoint.isEjected(now)) {
			cost += 100_000;
		}
		if (endpoint.isUnresponsive(now, silenceMillis)) {
			cost += 50_000;
		}
		return cost;
	}

	private double zoneCost(EndpointState endpoint) {
		return endpoint.record().availabilityZone().equals(this.ownZone) ? 0 : OTHER_ZONE_MILLIS;
	}

	private static double inputCost(EndpointState endpoint, Map<String, Long> inputZones) {
		double cost = 0;
		for (Map.Entry<String, Long> input : inputZones.entrySet()) {
			if (!input.getKey().equals(endpoint.record().availabilityZone())) {
				cost += input.getValue() * OTHER_ZONE_MILLIS_PER_BYTE;
			}
		}
		return cost;
	}

}
