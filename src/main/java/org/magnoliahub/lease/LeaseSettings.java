package org.magnoliahub.lease;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Settings of a lease. All candidates for a duty use the same duration.
 *
 * @param duty name of the duty, not blank
 * @param holder name of this candidate, different for each run of a process
 * @param duration time for which a candidate must see the row unchanged before it takes
 * over, at least 100 ms
 */
public record LeaseSettings(String duty, String holder, Duration duration) {

	/** Default duration. */
	public static final Duration DEFAULT_DURATION = Duration.ofSeconds(10);

	/**
	 * Share of the duration by which the holder stops early. It covers a difference of
	 * 10% between the rates of two monotonic clocks.
	 */
	private static final int MARGIN_DIVISOR = 10;

	/** The row is renewed, or watched, this many times per duration. */
	private static final int ROUNDS_PER_DURATION = 4;

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if a text is blank or the duration too short
	 */
	public LeaseSettings {
		Arguments.requireText(duty, "duty");
		Arguments.requireText(holder, "holder of duty " + duty);
		Arguments.requireRange(duration.toMillis(), 100, 3_600_000, "duration in ms of duty " + duty);
	}

	/**
	 * Returns how long a holder may act after it started to write a renewal.
	 * @return nine tenths of the duration
	 */
	public Duration holderDuration() {
		return this.duration.minus(this.duration.dividedBy(MARGIN_DIVISOR));
	}

	/**
	 * Returns the time between renewals by the holder and between reads by candidates.
	 * @return a quarter of the duration
	 */
	public Duration interval() {
		return this.duration.dividedBy(ROUNDS_PER_DURATION);
	}

}
