package org.magnoliahub.routing;

import io.reactivex.rxjava3.core.SingleEmitter;

/**
 * An assignment request that waits for an endpoint.
 *
 * @param request the assignment request
 * @param statistics execution times of the stage for the request class
 * @param deadlineMillis monotonic time of the request's deadline
 * @param laterStagesMillis expected execution time of the later stages
 * @param latestStartMillis monotonic time by which the stage should start
 * @param sequence number in the order of arrival
 * @param onSent called when the stage is sent to an endpoint
 * @param emitter receives the assignment
 */
record WaitingRequest(AssignmentRequest request, StageStatistics statistics, double deadlineMillis,
		double laterStagesMillis, double latestStartMillis, long sequence, Runnable onSent,
		SingleEmitter<Assignment> emitter) {

	@Override
	public boolean equals(Object other) {
		return this == other;
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.sequence);
	}

}
