package org.magnoliahub.serving;

import org.junit.jupiter.api.TestReporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against servers that are overloaded in turn while others are idle, because many
 * gateways choose by the same outdated reports. The bound is that of the requirement.
 */
class EvenLoadTests {

	private static final double MAXIMUM_RATIO = 1.3;

	@ParameterizedTest
	@CsvSource({ "24, 1", "24, 2", "24, 3", "24, 4", "24, 5", "48, 1", "48, 2", "48, 3", "48, 4", "48, 5" })
	void busiestServerIsCloseToTheMeanWeightedBySpeed(int gatewayCount, long seed, TestReporter reporter) {
		LoadSimulation.Result usual = LoadSimulation.run(gatewayCount, false, seed);
		LoadSimulation.Result balanced = LoadSimulation.run(gatewayCount, true, seed);
		reporter.publishEntry(gatewayCount + " gateways, seed " + seed,
				"three figures " + usual + ", four " + balanced);
		assertThat(balanced.work()).as("three figures %s, four %s", usual, balanced).isLessThanOrEqualTo(MAXIMUM_RATIO);
		assertThat(balanced.work()).isLessThan(usual.work());
		assertThat(balanced.responseMillis()).isLessThan(usual.responseMillis());
	}

}
