package org.magnoliahub.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against evacuations that end although no read shows that their row was removed,
 * and against zones that are reopened without a report.
 */
class EvacuatedZonesTests {

	private final List<String> changes = new ArrayList<>();

	private final EvacuatedZones zones = new EvacuatedZones(new EvacuatedZones.Listener() {

		@Override
		public void onZoneEvacuated(String zone) {
			EvacuatedZonesTests.this.changes.add("evacuated " + zone);
		}

		@Override
		public void onZoneMissing(String zone) {
			EvacuatedZonesTests.this.changes.add("missing " + zone);
		}

		@Override
		public void onZoneReopened(String zone, long now) {
			EvacuatedZonesTests.this.changes.add("reopened " + zone + " at " + now);
		}

	});

	private void restoreWithoutRow(long now) {
		this.zones.evacuate("z1");
		this.zones.recordRead(now - 10);
		this.zones.retainAllAfterRestore(Set.of(), now);
		this.zones.recordRead(now);
	}

	@Test
	void zoneNameMustMatchExactly() {
		this.zones.evacuate("z1");
		assertThat(this.zones.contains("z1")).isTrue();
		assertThat(this.zones.contains("z10")).isFalse();
		assertThat(this.zones.contains("Z1")).isFalse();
	}

	@Test
	void listWithoutTheRowReopensTheZone() {
		this.zones.evacuate("z1");
		this.zones.evacuate("z2");
		this.zones.retainAll(Set.of("z2"), 500);
		assertThat(this.changes).containsExactly("evacuated z1", "evacuated z2", "reopened z1 at 500");
	}

	@Test
	void rowThatIsWrittenAgainIsNoChange() {
		this.zones.evacuate("z1");
		this.zones.evacuate("z1");
		assertThat(this.changes).containsExactly("evacuated z1");
	}

	@Test
	void rowMissingFromARestoredStoreEndsTheEvacuationOnlyAfterTheGracePeriod() {
		restoreWithoutRow(1_000);
		this.zones.retainAll(Set.of(), 2_000);
		this.zones.recordRead(3_199);
		assertThat(this.zones.contains("z1")).isTrue();
		this.zones.recordRead(3_200);
		this.zones.recordRead(3_300);
		assertThat(this.changes).containsExactly("evacuated z1", "missing z1", "reopened z1 at 3300");
	}

	@Test
	void responseToACallFromTheGracePeriodDoesNotEndTheEvacuation() {
		restoreWithoutRow(1_000);
		this.zones.recordRead(3_100);
		this.zones.recordRead(9_000);
		assertThat(this.zones.contains("z1")).isTrue();
	}

	@Test
	void rowThatComesBackInTheGracePeriodContinuesTheEvacuation() {
		restoreWithoutRow(1_000);
		this.zones.evacuate("z1");
		this.zones.recordRead(4_000);
		this.zones.recordRead(5_000);
		assertThat(this.changes).containsExactly("evacuated z1", "missing z1");
	}

	@Test
	void secondRestorationStartsTheGracePeriodAgain() {
		restoreWithoutRow(1_000);
		this.zones.retainAllAfterRestore(Set.of(), 3_000);
		this.zones.recordRead(4_000);
		this.zones.recordRead(5_000);
		assertThat(this.zones.contains("z1")).isTrue();
	}

	@Test
	void removalInTheGracePeriodReopensTheZoneAtOnce() {
		restoreWithoutRow(1_000);
		this.zones.reopen("z1", 1_500);
		assertThat(this.zones.contains("z1")).isFalse();
	}

	@Test
	void numberOfZonesIsBounded() {
		for (int index = 0; index < EvacuatedZones.MAXIMUM_ZONES; index++) {
			assertThat(this.zones.evacuate("z" + index)).isTrue();
		}
		assertThat(this.zones.evacuate("excess")).isFalse();
		assertThat(this.zones.evacuate("z5")).isTrue();
		assertThat(this.zones.size()).isEqualTo(EvacuatedZones.MAXIMUM_ZONES);
	}

}
