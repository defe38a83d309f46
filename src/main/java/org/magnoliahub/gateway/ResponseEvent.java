package org.magnoliahub.gateway;

import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestId;

/**
 * Event of the answer to a request.
 */
public sealed interface ResponseEvent {

	/**
	 * Part of the answer of the last stage.
	 *
	 * @param content the part
	 */
	record Chunk(String content) implements ResponseEvent {
	}

	/** The parts before this event are void, since the stage runs again. */
	record Restarted() implements ResponseEvent {
	}

	/**
	 * The final event.
	 *
	 * @param request id of the request
	 * @param outcome its outcome
	 */
	record Finished(RequestId request, Outcome outcome) implements ResponseEvent {
	}

}
