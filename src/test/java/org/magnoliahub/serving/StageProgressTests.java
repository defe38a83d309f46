package org.magnoliahub.serving;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against stages that run with missing or duplicate inputs or with inputs of
 * another stage.
 */
class StageProgressTests {

	private static final List<RouteStage> STAGES = List.of(new RouteStage("images", List.of(), 800_000),
			new RouteStage("images", List.of(), 8_000), new RouteStage("portal", List.of(1), 60_000),
			new RouteStage("invoices", List.of(2), 6_000));

	private static PieceResult result(String handle, String zone) {
		return new PieceResult(handle, zone, null);
	}

	@Test
	void stageOfAShortChainWaitsForLongerChains() {
		StageProgress progress = new StageProgress(STAGES, List.of(2, 1, 1, 1));
		assertThat(progress.startReadyStages()).containsExactly(1);
		progress.recordResult(1, 0, result("a", "z1"));
		assertThat(progress.startReadyStages()).containsExactly(2);
		progress.recordResult(2, 0, result("b", "z1"));
		assertThat(progress.startReadyStages()).containsExactly(0, 3);
	}

	@Test
	void skippedStageDelaysNothing() {
		StageProgress progress = new StageProgress(STAGES, List.of(0, 1, 1, 1));
		progress.startReadyStages();
		progress.recordResult(1, 0, result("a", "z1"));
		progress.startReadyStages();
		progress.recordResult(2, 0, result("b", "z1"));
		progress.startReadyStages();
		progress.recordResult(3, 0, result("c", "z1"));
		assertThat(progress.isComplete()).isTrue();
		assertThat(progress.requestInputs()).containsExactly("c");
	}

	@Test
	void requestInputsAreResultsOfAllFinalStagesInOrder() {
		StageProgress progress = new StageProgress(STAGES, List.of(2, 1, 1, 1));
		progress.recordResult(3, 0, result("d", "z1"));
		progress.recordResult(0, 1, result("b", "z2"));
		progress.recordResult(0, 0, result("a", "z2"));
		assertThat(progress.requestInputs()).containsExactly("a", "b", "d");
		assertThat(progress.requestInputBytesByZone()).containsEntry("z2", 1_600_000L).containsEntry("z1", 6_000L);
	}

	@Test
	void secondResultOfAPieceIsIgnored() {
		StageProgress progress = new StageProgress(STAGES, List.of(0, 1, 0, 0));
		assertThat(progress.recordResult(1, 0, result("a", "z1"))).isTrue();
		assertThat(progress.recordResult(1, 0, result("b", "z1"))).isFalse();
		assertThat(progress.resultHandles(1)).containsExactly("a");
	}

	@Test
	void preferredInputZoneHoldsMostBytes() {
		StageProgress progress = new StageProgress(STAGES, List.of(0, 3, 1, 1));
		progress.recordResult(1, 0, result("a", "z1"));
		progress.recordResult(1, 1, result("b", "z2"));
		progress.recordResult(1, 2, result("c", "z2"));
		assertThat(progress.preferredInputZone(2).zone()).isEqualTo("z2");
	}

}
