package org.magnoliahub.soak;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against runs that cannot be repeated from their seed, and against faults that no
 * seed plays.
 */
class FaultPlanTests {

	private static final long LENGTH_MILLIS = 30_000;

	@Test
	void seedDecidesThePlan() {
		assertThat(FaultPlan.draw(7, LENGTH_MILLIS)).isEqualTo(FaultPlan.draw(7, LENGTH_MILLIS));
		assertThat(FaultPlan.draw(7, LENGTH_MILLIS)).isNotEqualTo(FaultPlan.draw(8, LENGTH_MILLIS));
	}

	@Test
	void fiftySeedsPlayAllFaultsAndLeaveTimeToRecover() {
		Set<FaultKind> played = EnumSet.noneOf(FaultKind.class);
		for (long seed = 0; seed < 50; seed++) {
			for (PlannedFault fault : FaultPlan.draw(seed, LENGTH_MILLIS).faults()) {
				played.add(fault.kind());
				assertThat(fault.endMillis()).isLessThanOrEqualTo(LENGTH_MILLIS - FaultPlan.RECOVERY_MILLIS);
			}
		}
		assertThat(played).containsExactlyInAnyOrder(FaultKind.values());
	}

	@Test
	void onlyPlannedWorkComesFirst() {
		for (long seed = 0; seed < 50; seed++) {
			assertThat(FaultPlan.draw(seed, LENGTH_MILLIS).faults())
				.filteredOn((fault) -> fault.startMillis() < FaultPlan.CALM_MILLIS)
				.allMatch((fault) -> fault.kind().isPlanned());
		}
	}

	/**
	 * Guards against plans that leave no time in which rules with a time bound hold.
	 */
	@Test
	void gatewaysComeBackInTouchBetweenBursts() {
		for (long seed = 0; seed < 50; seed++) {
			List<PlannedFault> breaks = FaultPlan.draw(seed, 60_000)
				.faults()
				.stream()
				.filter((fault) -> fault.kind().breaksContact())
				.toList();
			assertThat(breaks).allMatch((fault) -> (fault.endMillis() - FaultPlan.CALM_MILLIS) % 8_000 <= 3_700);
		}
	}

	/**
	 * Guards against changes of the configuration that miss the time around disturbances.
	 */
	@Test
	void configurationChangesOftenAndRightBehindDisturbances() {
		int behind = 0;
		for (long seed = 0; seed < 50; seed++) {
			List<PlannedFault> faults = FaultPlan.draw(seed, LENGTH_MILLIS).faults();
			List<PlannedFault> changes = faults.stream()
				.filter((fault) -> fault.kind() == FaultKind.CONFIGURATION_CHANGE)
				.toList();
			assertThat(changes).hasSizeGreaterThan(8);
			behind += (int) faults.stream()
				.filter((fault) -> fault.kind().breaksContact())
				.filter((fault) -> changes.stream()
					.anyMatch((change) -> change.startMillis() >= fault.endMillis()
							&& change.startMillis() < fault.endMillis() + 200))
				.count();
		}
		assertThat(behind).isGreaterThan(100);
	}

	/**
	 * Guards against seeds whose other faults change with the evacuations. The figure is
	 * that of the plan before evacuations were played.
	 */
	@Test
	void evacuationsComeInAdditionAndLastLongerThanTheirBound() {
		List<PlannedFault> faults = FaultPlan.draw(7, LENGTH_MILLIS).faults();
		assertThat(faults.stream().filter((fault) -> !isEvacuation(fault)).toList().toString()).hasSize(3_840)
			.hasSameHashCodeAs(1_598_344_323);
		for (long seed = 0; seed < 50; seed++) {
			long free = 0;
			for (PlannedFault fault : FaultPlan.draw(seed, LENGTH_MILLIS).faults()) {
				if (isEvacuation(fault)) {
					assertThat(fault.startMillis()).isGreaterThan(free);
					assertThat(fault.lengthMillis()).isGreaterThan(EvacuationCheck.BOUND_MILLIS);
					free = fault.endMillis();
				}
			}
		}
	}

	private static boolean isEvacuation(PlannedFault fault) {
		return fault.kind() == FaultKind.ZONE_EVACUATION;
	}

}
