package org.magnoliahub.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against balanced load in services whose endpoints do not state the slowdown of
 * their machines, and against the loss of what the usual choice considers.
 */
class BalancedSelectionTests {

	private static final CallerRequest PREFIXED = ServingFixtures
		.request(List.of(new PromptSegment("session", 4_000), new PromptSegment("own", 100)), 4_100);

	private final EndpointDirectory directory = ServingFixtures.directory(ServingFixtures.endpoint("a", "s", "z1"),
			ServingFixtures.endpoint("b", "s", "z1"), ServingFixtures.endpoint("c", "s", "z1"));

	private final EndpointSelector selector = new EndpointSelector(this.directory, "z1", new SplittableRandom(1));

	private void report(OptionalInt slowdownPercent, int... running) {
		for (int index = 0; index < running.length; index++) {
			state(index).recordLoad(new EndpointLoad(running[index], 0, 4, slowdownPercent), 0);
		}
	}

	private EndpointState state(int index) {
		String id = List.of("a", "b", "c").get(index);
		return this.directory.all().stream().filter((each) -> each.record().id().equals(id)).findFirst().orElseThrow();
	}

	private Set<String> selected(long now) {
		Set<String> selected = new HashSet<>();
		for (int round = 0; round < 100; round++) {
			selected.add(this.selector.selectEndpoint("s", Set.of(), now).orElseThrow().endpoint().record().id());
		}
		return selected;
	}

	@Test
	void choiceIsTheUsualOneWithoutAFourthFigure() {
		report(OptionalInt.empty(), 1, 3, 3);
		assertThat(selected(1_000)).containsExactly("a");
	}

	@Test
	void fourthFigureOfOneEndpointBalancesTheLoadOfItsService() {
		report(OptionalInt.of(100), 1);
		assertThat(selected(1_000)).containsExactlyInAnyOrder("a", "b", "c");
		assertThat(BalancedLoads.of(this.directory, 1_000).endpoints()).isEqualTo(1);
	}

	@Test
	void unreachableAndTriedEndpointsAreNotSelected() {
		report(OptionalInt.of(100), 0, 4, 4);
		state(0).recordFailure(1_000, true);
		assertThat(selected(1_010)).containsExactlyInAnyOrder("b", "c");
		assertThat(this.selector.selectEndpoint("s", Set.of("a", "b", "c"), 1_010)).isEmpty();
		assertThat(this.selector.selectEndpoint("s", Set.of("b", "c"), 1_010).orElseThrow().isLastResort()).isTrue();
	}

	@Test
	void engineWithTheCachedPrefixStaysPreferredUnlessOverloaded() {
		String usual = engine();
		report(OptionalInt.of(100), 4, 4, 4);
		assertThat(engine()).isEqualTo(usual);
		EndpointState preferred = state(List.of("a", "b", "c").indexOf(usual));
		preferred.recordLoad(new EndpointLoad(4, 8, 4, OptionalInt.of(100)), 0);
		assertThat(engine()).isNotEqualTo(usual);
	}

	private String engine() {
		return this.selector.selectEngine("s", PREFIXED, Map.of(), Set.of(), 1).orElseThrow().endpoint().record().id();
	}

}
