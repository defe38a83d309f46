package org.magnoliahub.standin;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.Arguments;

/**
 * Faults of a stand-in.
 *
 * @param errorRate share of calls that run and end with status 500, from 0 to 1
 * @param delayMs additional time each call takes, in milliseconds
 * @param cutAfterTokens number of tokens after which a stream ends without its marker;
 * other responses end before their last byte; {@code null} for complete responses
 * @param refuse whether calls are refused with status 503 before they start
 */
public record Faults(double errorRate, long delayMs, @Nullable Integer cutAfterTokens, boolean refuse) {

	/** No faults. */
	public static final Faults NONE = new Faults(0, 0, null, false);

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public Faults {
		if (!(errorRate >= 0 && errorRate <= 1)) {
			throw new IllegalArgumentException("error_rate must be from 0 to 1, but was " + errorRate);
		}
		Arguments.requireRange(delayMs, 0, 3_600_000, "delay_ms");
		Arguments.requireRange((cutAfterTokens != null) ? cutAfterTokens : 0, 0, Integer.MAX_VALUE, "cut_after_tokens");
	}

}
