package org.magnoliahub.standin;

import org.magnoliahub.model.Arguments;

/**
 * Declared speed of an engine stand-in.
 *
 * @param firstTokenMs time to the first token, or to the answer of a call that is no
 * stream, in milliseconds
 * @param tokenMs time between tokens, in milliseconds
 * @param slots calls in execution at once, at least 1
 * @param maximumWaiting calls that wait for a slot; further calls get status 429
 */
public record EngineSpeed(long firstTokenMs, long tokenMs, int slots, int maximumWaiting) {

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public EngineSpeed {
		Arguments.requireRange(firstTokenMs, 0, 3_600_000, "time to first token in ms");
		Arguments.requireRange(tokenMs, 0, 3_600_000, "time between tokens in ms");
		Arguments.requireRange(slots, 1, 512, "slots");
		Arguments.requireRange(maximumWaiting, 0, 512, "waiting calls");
	}

}
