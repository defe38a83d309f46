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
 * @param attempt the attempt that the back end sees in its request headers, empty on the
 * way to the agent, which knows it from the message
 */
public record StageCall(String stage, StageType type, String path, String workspace, String input,
		List<StageOutput> previous, Optional<String> idempotencyKey, Optional<AttemptId> attempt) {

	/**
	 * Copies the results of earlier stages.
	 */
	public StageCall {
		previous = List.copyOf(previous);
	}

	/**
	 * Creates a call that names no attempt.
	 * @param stage the stage's name
	 * @param type what the stage does
	 * @param path path of the HTTP request at the back end
	 * @param workspace name of the workspace on whose behalf it runs
	 * @param input the caller's input, JSON text
	 * @param previous results of earlier stages, in order
	 * @param idempotencyKey the caller's key, empty if none was given
	 */
	public StageCall(String stage, StageType type, String path, String workspace, String input,
			List<StageOutput> previous, Optional<String> idempotencyKey) {
		this(stage, type, path, workspace, input, previous, idempotencyKey, Optional.empty());
	}

	/**
	 * Returns this call on behalf of an attempt.
	 * @param newAttempt the attempt
	 * @return a call that differs only in its attempt
	 */
	public StageCall withAttempt(AttemptId newAttempt) {
		return new StageCall(this.stage, this.type, this.path, this.workspace, this.input, this.previous,
				this.idempotencyKey, Optional.of(newAttempt));
	}

}
