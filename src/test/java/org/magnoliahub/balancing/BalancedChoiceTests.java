package org.magnoliahub.balancing;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against gateways that choose the same server at the same moment, and against
 * servers that get too many or too few requests for their speed.
 */
class BalancedChoiceTests {

	private static final int DRAWS = 10_000;

	private static Candidate candidate(double speed, double otherRequests, long ageMillis, double costMillis) {
		return new Candidate(8, speed, 0, otherRequests, ageMillis, 10 * speed, costMillis);
	}

	/** Returns the part of many gateways with the same view that choose each server. */
	private static double[] parts(Candidate... candidates) {
		double[] parts = new double[candidates.length];
		for (int draw = 0; draw < DRAWS; draw++) {
			double random = (draw + 0.5) / DRAWS;
			int index = BalancedChoice.choose(List.of(candidates), new LoadCost(60, 1_000), 24, random).index();
			parts[index] += 1.0 / DRAWS;
		}
		return parts;
	}

	@Test
	void gatewaysWithEqualViewsDoNotAllChooseTheLeastLoadedServer() {
		double[] parts = parts(candidate(1, 2, 1_000, 0), candidate(1, 6, 1_000, 0), candidate(1, 6, 1_000, 0));
		assertThat(parts[0]).isBetween(0.35, 0.7);
		assertThat(parts[1]).isBetween(0.1, 0.33).isCloseTo(parts[2], within(0.01));
	}

	@Test
	void requestsOfOneGatewayFollowTheSpeedOfEachServer() {
		double[] sent = new double[3];
		for (int request = 0; request < 400; request++) {
			List<Candidate> candidates = Arrays.asList(new Candidate(4, 1, 0, 4, 500, sent[0], 0),
					new Candidate(4, 0.5, 0, 4, 500, sent[1], 0), new Candidate(8, 1, 0, 8, 500, sent[2], 0));
			sent[BalancedChoice.choose(candidates, new LoadCost(60, 1_000), 24, request * 0.618 % 1).index()]++;
		}
		assertThat(sent[0]).isCloseTo(400 * 4 / 14.0, within(4.0));
		assertThat(sent[1]).isCloseTo(400 * 2 / 14.0, within(4.0));
	}

	@Test
	void gatewayWithFewRequestsDoesNotStarveSmallServers() {
		double sentToSmall = 0;
		double[] recent = new double[6];
		for (int request = 0; request < 6_000; request++) {
			Candidate[] candidates = new Candidate[6];
			for (int index = 0; index < 6; index++) {
				recent[index] *= 0.5;
				candidates[index] = new Candidate((index < 3) ? 4 : 16, 1, 0, 0, 500, recent[index], 0);
			}
			int chosen = BalancedChoice.choose(List.of(candidates), LoadCost.linear(60), 24, request * 0.618034 % 1)
				.index();
			recent[chosen]++;
			sentToSmall += (chosen < 3) ? 1 : 0;
		}
		assertThat(sentToSmall / 6_000).isBetween(0.15, 0.25);
	}

	@Test
	void serverWithoutReportIsNeitherStarvedNorFlooded() {
		double[] parts = parts(candidate(1, 0, Candidate.NO_REPORT, 0), candidate(1, 7, 300, 0),
				candidate(1, 7, 300, 0));
		assertThat(parts[0]).isBetween(0.3, 0.37);
	}

	@Test
	void serverWithACachedPromptIsLeftOnlyIfClearlyOverloaded() {
		assertThat(parts(candidate(1, 8, 100, 0), candidate(1, 0, 100, 247))[0]).isEqualTo(1, within(1e-6));
		assertThat(parts(candidate(1, 16, 100, 0), candidate(1, 0, 100, 247))[0]).isLessThan(0.6);
	}

	@Test
	void penalizedServerIsLeftOut() {
		assertThat(parts(candidate(1, 30, 100, 0), candidate(1, 0, 100, 50_000))[0]).isEqualTo(1, within(1e-6));
	}

}
