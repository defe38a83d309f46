package org.magnoliahub.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * A request as submitted by a caller.
 *
 * @param workspace name of the workspace
 * @param pipeline name of the pipeline
 * @param requestClass name of the request class
 * @param idempotencyKey idempotency key of the caller, empty if none was given
 * @param input the input as JSON text
 * @param budget maximum time that the caller waits, empty for the deadline of the class
 */
public record Submission(String workspace, String pipeline, String requestClass, Optional<String> idempotencyKey,
		String input, Optional<Duration> budget) {

	/** Maximum length of an idempotency key in characters. */
	public static final int MAXIMUM_KEY_LENGTH = 256;

}
