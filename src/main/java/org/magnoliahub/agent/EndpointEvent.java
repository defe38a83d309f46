package org.magnoliahub.agent;

import org.magnoliahub.model.Arguments;

/**
 * Event of a call to a back end.
 */
public sealed interface EndpointEvent {

	/**
	 * Part of the result.
	 *
	 * @param content the part
	 */
	record Part(String content) implements EndpointEvent {
	}

	/**
	 * The call ran to its end; its result is the parts in order.
	 *
	 * @param units work done, in tokens or calls, at least 0
	 */
	record Finished(long units) implements EndpointEvent {

		public Finished {
			Arguments.requireRange(units, 0, Long.MAX_VALUE, "units");
		}

	}

}
