package org.magnoliahub.agent;

import java.time.Duration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.protocol.ControlAction;
import org.magnoliahub.protocol.Message;

/**
 * Calls to the one back end that an agent guards.
 */
public interface EndpointClient {

	/**
	 * Runs a call.
	 * @param call what to run
	 * @param budget time left, positive
	 * @param priority urgency, 0 is most urgent
	 * @return parts of the result and one {@link EndpointEvent.Finished} as last event;
	 * {@link EndpointException} on failure; disposal cancels the call at the back end
	 */
	Flowable<EndpointEvent> call(StageCall call, Duration budget, int priority);

	/**
	 * Asks the back end for its load.
	 * @return running and waiting calls as the back end reports them, with time 0;
	 * {@link EndpointException} on failure
	 */
	Single<Message.LoadReport> load();

	/**
	 * Passes a control command to the back end.
	 * @param action what to do
	 * @param argument name of the model or adapter, not blank
	 * @param fencingNumber number of the sender's lease, at least 1
	 * @return completes when the back end has carried it out; {@link EndpointException}
	 * if it refuses or fails
	 */
	default Completable control(ControlAction action, String argument, long fencingNumber) {
		return Completable.error(new EndpointException("the back end takes no control commands", false));
	}

}
