package org.magnoliahub.routing;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.protocol.Message;

/**
 * Decides whether a request is admitted and which endpoint runs each of its stages.
 */
public interface StageScheduler {

	/**
	 * Decides on a request before anything of it runs.
	 * @param request what is known of the request
	 * @return admission, or a refusal with the time to come back
	 */
	AdmissionDecision admit(AdmissionRequest request);

	/**
	 * Assigns a stage to an endpoint, now or when one has room.
	 * @param request the stage and the budget
	 * @return the assignment; {@link AssignmentException} if the stage cannot finish in
	 * time or no endpoint is usable; disposal gives up the place in the queue
	 */
	Single<Assignment> assign(AssignmentRequest request);

	/**
	 * Ends the accounting of an admitted request, whatever its outcome.
	 * @param request the request that was admitted
	 */
	void release(AdmissionRequest request);

	/**
	 * Records whether an endpoint can take new work, as its connection and its agent say.
	 * An endpoint of which nothing was recorded can take work.
	 * @param endpoint name of the endpoint
	 * @param usable {@code false} while it is disconnected or drains
	 */
	default void setUsable(String endpoint, boolean usable) {
	}

	/**
	 * Takes a load report that came apart from a result.
	 * @param endpoint name of the endpoint
	 * @param load the report, which lags behind the truth
	 */
	default void loadReported(String endpoint, Message.LoadReport load) {
	}

}
