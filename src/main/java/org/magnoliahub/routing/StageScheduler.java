package org.magnoliahub.routing;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.protocol.Message;

/**
 * Decides on the admission of requests and assigns their stages to endpoints.
 */
public interface StageScheduler {

	/**
	 * Decides whether a request is admitted, before any of its stages runs.
	 * @param request the request
	 * @return the decision; a refusal carries the time after which the caller may retry
	 */
	AdmissionDecision admit(AdmissionRequest request);

	/**
	 * Assigns a stage to an endpoint, at once or when one has capacity.
	 * @param request the stage and its budget
	 * @return the assignment; fails with {@link AssignmentException} if the stage cannot
	 * finish in time or no endpoint is usable; disposal removes the stage from the queue
	 */
	Single<Assignment> assign(AssignmentRequest request);

	/**
	 * Releases the capacity committed to an admitted request and removes it from the
	 * requests in flight, whatever its outcome.
	 * @param request the request that was admitted
	 */
	void release(AdmissionRequest request);

	/**
	 * Records whether an endpoint accepts new work, as reported by its connection and its
	 * agent. An endpoint without a record is usable.
	 * @param endpoint name of the endpoint
	 * @param usable {@code false} while it is disconnected or draining
	 */
	default void setUsable(String endpoint, boolean usable) {
	}

	/**
	 * Applies a load report that arrived separately from a result.
	 * @param endpoint name of the endpoint
	 * @param load the report, which may be outdated on arrival
	 */
	default void loadReported(String endpoint, Message.LoadReport load) {
	}

}
