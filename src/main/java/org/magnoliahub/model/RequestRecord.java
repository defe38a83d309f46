package org.magnoliahub.model;

import java.time.Instant;
import java.util.List;

/**
 * Record of one request, stored for reports and queries.
 *
 * @param request id of the request
 * @param gateway name of the gateway that served it
 * @param workspace name of its workspace
 * @param pipeline name of its pipeline
 * @param requestClass name of its request class
 * @param arrived wall-clock time of its arrival at the gateway
 * @param totalMillis time from arrival to outcome, in milliseconds
 * @param outcome {@code complete}, {@code not_run}, {@code failed} or
 * {@code outcome_unknown}
 * @param reason reason of a refusal or failure, empty if the request completed
 * @param detail what happened, empty if the request completed
 * @param withinDeadline whether the request completed within its deadline
 * @param attempts its attempts, in the order in which they were sent
 */
public record RequestRecord(RequestId request, String gateway, String workspace, String pipeline, String requestClass,
		Instant arrived, long totalMillis, String outcome, String reason, String detail, boolean withinDeadline,
		List<AttemptRecord> attempts) {

	/**
	 * Copies the attempts.
	 */
	public RequestRecord {
		attempts = List.copyOf(attempts);
	}

}
