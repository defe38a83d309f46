package org.magnoliahub.coldstart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against gateways that together exceed the limit of a cold server while their
 * views of each other differ, and against a server that gets much less than its rate.
 */
class ColdShareTests {

	private static final int[] GATEWAY_COUNTS = { 1, 2, 3, 5, 10, 23, 48, 100 };

	private static int most(int gateways, boolean stage, Consumer<ColdSimulation> change) {
		int most = 0;
		for (long seed = 1; seed <= 3; seed++) {
			ColdSimulation simulation = new ColdSimulation(gateways, stage, seed);
			change.accept(simulation);
			simulation.run();
			most = Math.max(most, simulation.mostInOneSecond());
		}
		return most;
	}

	@ParameterizedTest
	@EnumSource
	void gatewaysTogetherKeepTheLimit(Change change) throws IOException {
		StringBuilder row = new StringBuilder(change.name());
		for (int gateways : GATEWAY_COUNTS) {
			int requests = most(gateways, false, (simulation) -> change.apply(simulation, gateways));
			int pieces = most(gateways, true, (simulation) -> change.apply(simulation, gateways));
			row.append(" | ").append(requests).append(' ').append(pieces);
			assertThat(Math.max(requests, pieces)).as(row.toString())
				.isLessThanOrEqualTo((int) ColdSimulation.PERMITTED);
		}
		Files.writeString(Path.of("target", "cold-share-" + change.name() + ".txt"), row + "\n");
	}

	@Test
	void coldServerGetsItsRateInNormalOperation() {
		for (int gateways : GATEWAY_COUNTS) {
			ColdSimulation simulation = new ColdSimulation(gateways, false, gateways);
			simulation.run();
			assertThat(simulation.perSecond(ColdSimulation.CHANGE_MILLIS, ColdSimulation.END_MILLIS))
				.as("%d gateways", gateways)
				.isBetween(13.0, 14.01);
		}
	}

	/**
	 * Changes of membership.
	 */
	private enum Change {

		NONE((simulation, gateways) -> {
		}),

		ONE_JOINS((simulation, gateways) -> simulation.join(1)),

		HALF_JOIN((simulation, gateways) -> simulation.join((gateways + 1) / 2)),

		ONE_LEAVES((simulation, gateways) -> simulation.leave(1)),

		HALF_REPLACED((simulation, gateways) -> {
			simulation.leave((gateways + 1) / 2);
			simulation.join((gateways + 1) / 2);
		}),

		HALF_CUT_OFF((simulation, gateways) -> simulation.cutOffHalf()),

		HALF_CUT_OFF_WHILE_ONE_JOINS_AND_ONE_LEAVES((simulation, gateways) -> {
			simulation.cutOffHalf();
			simulation.leave(1);
			simulation.join(1);
		}),

		HALF_CUT_OFF_WHILE_HALF_ARE_REPLACED((simulation, gateways) -> {
			simulation.cutOffHalf();
			simulation.leave(gateways / 2);
			simulation.join(gateways);
		}),

		ALL_RESTART((simulation, gateways) -> simulation.restartAll());

		private final BiConsumer<ColdSimulation, Integer> effect;

		Change(BiConsumer<ColdSimulation, Integer> effect) {
			this.effect = effect;
		}

		private void apply(ColdSimulation simulation, int gateways) {
			this.effect.accept(simulation, gateways);
		}

	}

}
