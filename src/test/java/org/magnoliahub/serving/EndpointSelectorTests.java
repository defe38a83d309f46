package org.magnoliahub.serving;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests being sent to unreachable, unresponsive, slow or busy endpoints
 * while a better one is available.
 */
class EndpointSelectorTests {

	private static final int ROUNDS = 20;

	private final EndpointDirectory directory = ServingFixtures.directory(ServingFixtures.endpoint("a", "s", "z1"),
			ServingFixtures.endpoint("b", "s", "z1"));

	private final EndpointSelector selector = new EndpointSelector(this.directory, "z1", new SplittableRandom(1));

	private EndpointState state(String id) {
		return this.directory.availableEndpoints("s", 0)
			.stream()
			.filter((endpoint) -> endpoint.record().id().equals(id))
			.findFirst()
			.orElseThrow();
	}

	private String select(long now) {
		return this.selector.selectEndpoint("s", Set.of(), now).orElseThrow().endpoint().record().id();
	}

	@Test
	void unreachableEndpointIsEjectedForALimitedTime() {
		state("a").recordFailure(0, true);
		for (int round = 0; round < ROUNDS; round++) {
			assertThat(select(10)).isEqualTo("b");
		}
		assertThat(state("a").isEjected(300)).isFalse();
	}

	@Test
	void unresponsiveEndpointIsAvoided() {
		state("a").beginCall(0, 10, 0);
		assertThat(select(400)).isEqualTo("b");
		assertThat(this.selector.selectEndpoint("s", Set.of("b"), 400).orElseThrow().isLastResort()).isTrue();
	}

	@Test
	void frequentlyFailingEndpointIsAvoided() {
		for (int round = 0; round < 5; round++) {
			state("a").recordFailure(round, false);
			state("b").recordSuccess(round);
		}
		assertThat(select(10)).isEqualTo("b");
	}

	/**
	 * Guards against rejections that count as fast responses and attract more requests.
	 */
	@Test
	void rejectionsDoNotChangeTheSlowdown() {
		state("a").beginCall(0, 60, 0).recordRejection(0);
		assertThat(state("a").slowdown(0)).isEqualTo(1);
	}

	/**
	 * Guards against underestimating an endpoint that reports no load, because each
	 * gateway sees only its own requests to it.
	 */
	@Test
	void unreportedLoadIsEstimatedFromThisGatewaysCalls() {
		state("a").beginCall(0, 60, 0);
		assertThat(state("a").occupancy(0, 5)).isEqualTo(5);
		state("a").recordLoad(new EndpointLoad(2, 0, 4), 0);
		assertThat(state("a").occupancy(0, 5)).isEqualTo(2);
	}

	@Test
	void busyEndpointIsAvoided() {
		for (int round = 0; round < 8; round++) {
			state("a").beginCall(0, 100, 0);
		}
		assertThat(select(1)).isEqualTo("b");
	}

	@Test
	void triedEndpointsAreNotSelected() {
		assertThat(this.selector.selectEndpoint("s", Set.of("a", "b"), 0)).isEmpty();
	}

	@Test
	void gatewaysSelectTheSameEngineForAPromptPrefix() {
		CallerRequest request = ServingFixtures
			.request(List.of(new PromptSegment("session", 4_000), new PromptSegment("own", 100)), 4_100);
		EndpointSelector other = new EndpointSelector(this.directory, "z1", new SplittableRandom(7));
		String first = this.selector.selectEngine("s", request, Map.of(), Set.of(), 0)
			.orElseThrow()
			.endpoint()
			.record()
			.id();
		String second = other.selectEngine("s", request, Map.of(), Set.of(), 0).orElseThrow().endpoint().record().id();
		assertThat(second).isEqualTo(first);
	}

	@Test
	void overloadedEngineIsNotSelectedForItsPromptPrefix() {
		CallerRequest request = ServingFixtures
			.request(List.of(new PromptSegment("session", 400), new PromptSegment("own", 100)), 500);
		EndpointChoice choice = this.selector.selectEngine("s", request, Map.of(), Set.of(), 0).orElseThrow();
		choice.endpoint().beginCall(0, 1_000, 90_000);
		EndpointChoice next = this.selector.selectEngine("s", request, Map.of(), Set.of(), 1).orElseThrow();
		assertThat(next.endpoint()).isNotSameAs(choice.endpoint());
	}

	@Test
	void slowdownConvergesToTheObservedResponseTimes() {
		for (int round = 0; round < 40; round++) {
			EndpointCall call = state("a").beginCall(round * 200, 100, 0);
			call.recordFirstResponse(round * 200 + 130);
			call.end();
		}
		assertThat(state("a").slowdown(7_930)).isBetween(1.25, 1.35);
	}

}
