package org.magnoliahub.routing;

import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.Message;

/**
 * A place at an endpoint for one attempt. Exactly one of {@link #completed},
 * {@link #failed} and {@link #released} ends it; later calls have no effect.
 */
public interface Assignment {

	/**
	 * Returns the endpoint.
	 * @return where the attempt runs
	 */
	Endpoint endpoint();

	/**
	 * Records that the attempt ran to its end.
	 * @param output its result
	 * @param load state of the endpoint after it
	 */
	void completed(StageOutput output, Message.LoadReport load);

	/**
	 * Records that the attempt failed at the endpoint or was rejected by it.
	 */
	void failed();

	/**
	 * Records that the attempt ended for a reason that says nothing of the endpoint.
	 */
	void released();

}
