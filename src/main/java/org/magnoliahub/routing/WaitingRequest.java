package org.magnoliahub.routing;

import io.reactivex.rxjava3.core.SingleEmitter;

/**
 * A stage that waits for an endpoint.
 *
 * @param request the stage
 * @param statistics execution times of the stage
 * @param deadlineMillis time of the request's deadline
 * @param laterMillis expected time of the later stages
 * @param latestStartMillis latest time at which the stage should start
 * @param sequence order of arrival
 * @param onSent called when the stage is sent to an endpoint
 * @param emitter receives the assignment
 */
record WaitingRequest(AssignmentRequest request, StageStatistics statistics, double deadlineMillis, double laterMillis,
		double latestStartMillis, long sequence, Runnable onSent, SingleEmitter<Assignment> emitter) {

	@Override
	public boolean equals(Object other) {
		return this == other;
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.sequence);
	}

}
