package org.magnoliahub.lease;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Settings of a lease. All candidates for a duty use the same duration.
 *
 * @param duty name of the duty that the lease protects, not blank
 * @param holder name of this candidate, not blank, different for each run of a process
 * @param duration time for which a candidate must observe the row unchanged before it
 * takes over, 100 ms to 1 h
 */
public record LeaseSettings(String duty, String holder, Duration duration) {

	/** Default duration of a lease. */
	public static final Duration DEFAULT_DURATION = Duration.ofSeconds(10);

	/**
	 * Divisor of the duration that gives the time by which the holder stops early. A
	 * tenth covers a difference of 10% between the rates of two monotonic clocks.
	 */
	private static final int HOLDER_MARGIN_DIVISOR = 10;

	/** Renewals by the holder, and reads by a candidate, per duration. */
	private static final int CYCLES_PER_DURATION = 4;

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if a text is blank or the duration out of range
	 */
	public LeaseSettings {
		Arguments.requireText(duty, "duty");
		Arguments.requireText(holder, "holder of duty " + duty);
		Arguments.requireRange(duration.toMillis(), 100, 3_600_000, "duration in ms of duty " + duty);
	}

	/**
	 * Returns for how long a holder may act after it started to write a renewal.
	 * @return nine tenths of the duration
	 */
	public Duration holderDuration() {
		return this.duration.minus(this.duration.dividedBy(HOLDER_MARGIN_DIVISOR));
	}

	/**
	 * Returns the time between renewals by the holder and between reads by candidates.
	 * @return a quarter of the duration
	 */
	public Duration renewalInterval() {
		return this.duration.dividedBy(CYCLES_PER_DURATION);
	}

}
