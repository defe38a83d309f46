package org.magnoliahub.agent;

import java.time.Duration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.protocol.ControlAction;
import org.magnoliahub.protocol.Message;

/**
 * Client of the back end of an endpoint.
 */
public interface EndpointClient {

	/**
	 * Runs a call at the back end.
	 * @param call the stage call
	 * @param budget time left until the deadline, positive
	 * @param priority priority of the call, 0 is the highest
	 * @return chunks of the result, then a single {@link EndpointEvent.Finished}; fails
	 * with {@link EndpointException}; cancelling the subscription cancels the call at the
	 * back end
	 */
	Flowable<EndpointEvent> call(StageCall call, Duration budget, int priority);

	/**
	 * Queries the load of the back end.
	 * @return number of running and of waiting calls as the back end reports them, with
	 * agent time 0; fails with {@link EndpointException}
	 */
	Single<Message.LoadReport> load();

	/**
	 * Passes a control command to the back end.
	 * @param action the action
	 * @param argument name of the model or adapter, not blank
	 * @param fencingNumber fencing number of the sender's lease, at least 1
	 * @return completes when the back end has executed the command; fails with
	 * {@link EndpointException} if the back end refuses it or fails
	 */
	default Completable control(ControlAction action, String argument, long fencingNumber) {
		return Completable.error(new EndpointException("the back end takes no control commands", false));
	}

}
