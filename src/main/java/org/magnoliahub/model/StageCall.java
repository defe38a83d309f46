package org.magnoliahub.model;

import java.util.List;
import java.util.Optional;

/**
 * What an endpoint is asked to do for one stage.
 *
 * @param stage the stage's name
 * @param type what the stage does
 * @param path HTTP path at the back end
 * @param workspace name of the workspace on whose behalf it runs
 * @param input the caller's input, JSON text
 * @param previous results of earlier stages, in order
 * @param idempotencyKey the caller's key, empty if none was given
 */
public record StageCall(String stage, StageType type, String path, String workspace, String input,
		List<StageOutput> previous, Optional<String> idempotencyKey) {

	/**
	 * Copies the results of earlier stages.
	 */
	public StageCall {
		previous = List.copyOf(previous);
	}

}
