package org.magnoliahub.serving;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates a day with bursts before stages whose result capacity, not their speed, is
 * too small for them. Guards against admitting requests that cannot be in time.
 */
class ResultCapacityAdmissionTests {

	private static final int SEEDS = 4;

	private static final RouteStage ENCODE = new RouteStage("encode", List.of(), 8_000);

	private static final RouteStage ATTACHMENT = new RouteStage("encode", List.of(), 800_000);

	private static final RouteStage RETRIEVE = new RouteStage("retrieve", List.of(0), 60_000);

	private static final RouteStage RERANK = new RouteStage("rerank", List.of(1), 6_000);

	private static final List<RouteStage> CHAIN = List.of(ENCODE, RETRIEVE, RERANK);

	/** Share of the processing time of an encoded attachment. */
	private static final Map<Integer, Double> SHORT_ENCODING = Map.of(0, 0.3);

	private static final StageChainSimulation.RequestClass DRAFT = new StageChainSimulation.RequestClass("draft", 1,
			2_700, CHAIN, List.of(1, 8, 6), SHORT_ENCODING, 400);

	private static final StageChainSimulation.RequestClass DRAFT_WITH_ATTACHMENTS = new StageChainSimulation.RequestClass(
			"draft", 1, 2_700, List.of(ENCODE, RETRIEVE, RERANK, ATTACHMENT), List.of(1, 8, 6, 2), SHORT_ENCODING, 400);

	private static final StageChainSimulation.RequestClass CAPTION = new StageChainSimulation.RequestClass("caption", 0,
			2_000, CHAIN, List.of(1, 8, 6), SHORT_ENCODING, 50);

	private static final StageChainSimulation.RequestClass CHECK = new StageChainSimulation.RequestClass("check", 2,
			1_100, List.of(ATTACHMENT), List.of(3), Map.of(), 80);

	/** Start of each period of the day, and the arrival rates in it. */
	private static final List<Period> PERIODS = List.of(new Period(0, 20, 57, 27), new Period(4_300, 51, 57, 27),
			new Period(11_300, 20, 57, 27), new Period(15_000, 20, 131, 27), new Period(20_400, 20, 57, 27),
			new Period(25_000, 33, 97, 45), new Period(29_000, 20, 57, 27), new Period(34_000, 0, 0, 0));

	private static StageChainSimulation day(long seed) {
		StageChainSimulation simulation = new StageChainSimulation(seed)
			.service("encode", 12, new StageLimits(1, 10, 240, 21, 12_000_000, 4_000))
			.service("retrieve", 10, new StageLimits(1, 53, 240, 3.9, 5_936_000, 4_000))
			.service("rerank", 13, new StageLimits(1, 31, 240, 6.6, 339_000, 4_000));
		for (int index = 0; index < PERIODS.size() - 1; index++) {
			Period period = PERIODS.get(index);
			long end = PERIODS.get(index + 1).start();
			simulation.arrivals(DRAFT, 0.6 * period.drafts(), period.start(), end)
				.arrivals(DRAFT_WITH_ATTACHMENTS, 0.4 * period.drafts(), period.start(), end)
				.arrivals(CAPTION, period.captions(), period.start(), end)
				.arrivals(CHECK, period.checks(), period.start(), end);
		}
		return simulation;
	}

	private static double lateShareOfDrafts(boolean ownerChanges) {
		return IntStream.rangeClosed(1, SEEDS).mapToDouble((seed) -> {
			StageChainSimulation simulation = day(seed);
			if (ownerChanges) {
				List.of(8_200L, 14_000L)
					.forEach((time) -> simulation.ownerChange("retrieve", time).ownerChange("rerank", time));
			}
			return simulation.run().getOrDefault("draft", StageChainSimulation.NO_REQUESTS).lateShareOfAnswered();
		}).average().orElse(1);
	}

	@Test
	void fourOfFiveAnsweredDraftsAreInTimeInBursts() {
		assertThat(lateShareOfDrafts(false)).isLessThan(0.2);
	}

	@Test
	void twoOfThreeAnsweredDraftsAreInTimeWhenTheQueueOwnerChangesInABurst() {
		assertThat(lateShareOfDrafts(true)).isLessThan(1.0 / 3);
	}

	private record Period(long start, double drafts, double captions, double checks) {
	}

}
