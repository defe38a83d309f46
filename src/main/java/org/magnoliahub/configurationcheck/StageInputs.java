package org.magnoliahub.configurationcheck;

import java.util.List;
import java.util.function.Consumer;

import org.magnoliahub.configurationcheck.RouteEntry.StageEntry;

/**
 * Inputs of a stage are results of earlier stages. Otherwise the stage never starts.
 */
final class StageInputs implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		for (RouteEntry route : configuration.routes().value()) {
			List<StageEntry> stages = route.stages().value();
			for (int stage = 0; stage < stages.size(); stage++) {
				for (Field<Long> input : stages.get(stage).inputStages()) {
					check(stage, input, stages.size(), findings);
				}
			}
		}
	}

	private static void check(int stage, Field<Long> input, int stageCount, Consumer<Finding> findings) {
		if (!input.present() || input.value() < stage) {
			return;
		}
		String found = "a later stage";
		if (input.value() == stage) {
			found = "the stage itself";
		}
		else if (input.value() >= stageCount) {
			found = "not a stage of the route";
		}
		findings.accept(Finding.error(input.path(), "expected the index of a stage before stage " + stage + ", but "
				+ input.value() + " is " + found + "; the stage cannot start"));
	}

}
