package org.magnoliahub.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * A request as a caller submits it.
 *
 * @param workspace name of the workspace
 * @param pipeline name of the pipeline
 * @param requestClass name of the request class
 * @param idempotencyKey the caller's key, empty if none was given
 * @param input the input, JSON text
 * @param budget time the caller is ready to wait, empty for the deadline of the class
 */
public record Submission(String workspace, String pipeline, String requestClass, Optional<String> idempotencyKey,
		String input, Optional<Duration> budget) {

	/** Longest idempotency key, in characters. */
	public static final int MAXIMUM_KEY_LENGTH = 256;

}
