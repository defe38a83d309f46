package org.magnoliahub.gateway;

import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestId;

/**
 * Event in the response to a request.
 */
public sealed interface ResponseEvent {

	/**
	 * A chunk of the output of the last stage.
	 *
	 * @param content text of the chunk
	 */
	record Chunk(String content) implements ResponseEvent {
	}

	/** The chunks before this event are invalid, because the stage runs again. */
	record Restarted() implements ResponseEvent {
	}

	/**
	 * The last event.
	 *
	 * @param request id of the request
	 * @param outcome its outcome
	 */
	record Finished(RequestId request, Outcome outcome) implements ResponseEvent {
	}

}
