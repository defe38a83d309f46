package org.magnoliahub.routing;

import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.Message;

/**
 * A slot at an endpoint, reserved for one attempt. Exactly one of {@link #completed},
 * {@link #failed} and {@link #released} frees the slot; later calls have no effect.
 */
public interface Assignment {

	/**
	 * Returns the endpoint.
	 * @return the endpoint that runs the attempt
	 */
	Endpoint endpoint();

	/**
	 * Records that the attempt completed.
	 * @param output the result of the stage
	 * @param load load of the endpoint after the attempt
	 */
	void completed(StageOutput output, Message.LoadReport load);

	/**
	 * Records that the endpoint failed or rejected the attempt, which counts as a failure
	 * of the endpoint.
	 */
	void failed();

	/**
	 * Records that the attempt ended for a reason unrelated to the endpoint, such as a
	 * cancellation. The statistics of the endpoint do not change.
	 */
	void released();

}
