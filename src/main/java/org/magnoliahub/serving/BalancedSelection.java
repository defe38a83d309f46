package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.magnoliahub.balancing.BalancedChoice;
import org.magnoliahub.balancing.Candidate;
import org.magnoliahub.balancing.LoadCost;

/**
 * Selects one of several endpoints by balanced load. It is used for services whose
 * endpoints state the slowdown of their machines.
 */
final class BalancedSelection {

	private final LoadCost loadCost;

	private final int gatewayCount;

	private final long now;

	private final List<EndpointChoice> choices = new ArrayList<>();

	private final List<Candidate> candidates = new ArrayList<>();

	/**
	 * Creates a selection without candidates.
	 * @param loadCost delay of a request by the load of its endpoint
	 * @param gatewayCount number of gateways, including this one
	 * @param now monotonic time, in milliseconds
	 */
	BalancedSelection(LoadCost loadCost, int gatewayCount, long now) {
		this.loadCost = loadCost;
		this.gatewayCount = gatewayCount;
		this.now = now;
	}

	/**
	 * Returns whether balanced load is in use for a service. One endpoint is enough, so
	 * that endpoints that were just added or do not state their slowdown yet take part.
	 * @param endpoints available endpoints of the service
	 * @param now monotonic time, in milliseconds
	 * @return whether a recent report of one of them stated a slowdown
	 */
	static boolean isInUse(List<EndpointState> endpoints, long now) {
		for (EndpointState endpoint : endpoints) {
			if (endpoint.statesSlowdown(now)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Adds a candidate.
	 * @param endpoint the endpoint
	 * @param expectedMillis expected time to the first bytes of the response at typical
	 * speed, in milliseconds
	 * @param uncachedTokens prompt tokens that the endpoint has to process
	 * @param costMillis expected time to a response without the effect of load and speed,
	 * with penalties, in milliseconds
	 */
	void add(EndpointState endpoint, double expectedMillis, int uncachedTokens, double costMillis) {
		this.choices.add(new EndpointChoice(endpoint, expectedMillis, uncachedTokens, costMillis));
		this.candidates.add(endpoint.loadTracker()
			.candidate(Math.max(1, endpoint.record().slots()), endpoint.outstandingCalls(), costMillis, this.now));
	}

	/**
	 * Selects one of the candidates.
	 * @param random random generator
	 * @return the choice, or empty if there is no candidate
	 */
	Optional<EndpointChoice> select(RandomGenerator random) {
		if (this.candidates.isEmpty()) {
			return Optional.empty();
		}
		BalancedChoice.Result result = BalancedChoice.choose(this.candidates, this.loadCost, this.gatewayCount,
				random.nextDouble());
		EndpointChoice choice = this.choices.get(result.index());
		return Optional.of(new EndpointChoice(choice.endpoint(), choice.expectedMillis(), choice.uncachedTokens(),
				result.costMillis()));
	}

}
