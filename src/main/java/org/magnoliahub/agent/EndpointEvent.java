package org.magnoliahub.agent;

import org.magnoliahub.model.Arguments;

/**
 * Event of a call to a back end.
 */
public sealed interface EndpointEvent {

	/**
	 * Chunk of the result.
	 *
	 * @param content text of the chunk
	 */
	record Chunk(String content) implements EndpointEvent {
	}

	/**
	 * The call completed; its result is the concatenation of its chunks.
	 *
	 * @param units amount of work done, in tokens or calls, at least 0
	 */
	record Finished(long units) implements EndpointEvent {

		public Finished {
			Arguments.requireRange(units, 0, Long.MAX_VALUE, "units");
		}

	}

}
