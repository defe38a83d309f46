package org.magnoliahub.serving;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The pieces of one stage of one request, as their gateway submits them to the gateway
 * that forms the calls of the stage's service.
 *
 * @param origin name of the gateway that has the request
 * @param jobId number of the submission, unique at its gateway
 * @param requestId the caller's id of the request
 * @param stage index of the stage in its route
 * @param pieces indexes of the pieces
 * @param pieceKey key of the pieces, if the stage has no inputs
 * @param inputs handles of the results that each piece needs
 * @param resultBytes approximate size of one result, in bytes
 * @param startDeadline monotonic time by which the pieces have to start for the request
 * to meet its latency objective, in milliseconds
 * @param expiresAt monotonic time at which the request ends, in milliseconds
 * @param priority rank of the route, zero is the most urgent
 * @param preference zone in which the inputs lie, or in which the results will be needed
 */
public record StageJob(String origin, long jobId, String requestId, int stage, List<Integer> pieces,
		@Nullable String pieceKey, List<String> inputs, long resultBytes, long startDeadline, long expiresAt,
		int priority, ZonePreference preference) {

	/**
	 * Copies the lists.
	 */
	public StageJob {
		pieces = List.copyOf(pieces);
		inputs = List.copyOf(inputs);
	}

}
