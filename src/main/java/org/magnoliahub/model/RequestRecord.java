package org.magnoliahub.model;

import java.time.Instant;
import java.util.List;

/**
 * What is kept of one request for reports and queries.
 *
 * @param request its id
 * @param gateway name of the gateway that served it
 * @param workspace name of its workspace
 * @param pipeline name of its pipeline
 * @param requestClass name of its class
 * @param arrived wall time of its arrival at the gateway
 * @param totalMillis time from arrival to final answer, in milliseconds
 * @param outcome {@code complete}, {@code not_run}, {@code failed} or
 * {@code outcome_unknown}
 * @param reason reason of a refusal or failure, empty text if complete
 * @param detail what happened, empty text if complete
 * @param withinDeadline whether the whole answer came within the deadline
 * @param attempts its attempts in order of sending
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
