package org.magnoliahub.model;

import java.util.List;
import java.util.Optional;

/**
 * A call that asks an endpoint to execute one stage of a request.
 *
 * @param stage the stage's name
 * @param type what the stage does
 * @param path path of the HTTP request at the back end
 * @param workspace name of the workspace on whose behalf it runs
 * @param input the caller's input, JSON text
 * @param previous outputs of the earlier stages, in order of execution
 * @param idempotencyKey the caller's key, empty if none was given
 * @param attempt the attempt, which the agent passes to the back end in request headers;
 * empty in the message to the agent, which has the attempt in a field of its own
 */
public record StageCall(String stage, StageType type, String path, String workspace, String input,
		List<StageOutput> previous, Optional<String> idempotencyKey, Optional<AttemptId> attempt) {

	/**
	 * Copies the outputs of the earlier stages.
	 */
	public StageCall {
		previous = List.copyOf(previous);
	}

	/**
	 * Creates a call without an attempt.
	 * @param stage the stage's name
	 * @param type what the stage does
	 * @param path path of the HTTP request at the back end
	 * @param workspace name of the workspace on whose behalf it runs
	 * @param input the caller's input, JSON text
	 * @param previous outputs of the earlier stages, in order of execution
	 * @param idempotencyKey the caller's key, empty if none was given
	 */
	public StageCall(String stage, StageType type, String path, String workspace, String input,
			List<StageOutput> previous, Optional<String> idempotencyKey) {
		this(stage, type, path, workspace, input, previous, idempotencyKey, Optional.empty());
	}

	/**
	 * Returns a copy of this call with an attempt.
	 * @param newAttempt the attempt
	 * @return the copy
	 */
	public StageCall withAttempt(AttemptId newAttempt) {
		return new StageCall(this.stage, this.type, this.path, this.workspace, this.input, this.previous,
				this.idempotencyKey, Optional.of(newAttempt));
	}

}
