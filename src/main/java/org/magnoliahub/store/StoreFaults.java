package org.magnoliahub.store;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Faults of a store, changed while it runs. Initially there is none.
 */
public final class StoreFaults {

	private boolean unavailable;

	private Duration extraLatency = Duration.ZERO;

	private double failBeforeProbability;

	private double lostAnswerProbability;

	/**
	 * Creates the faults of a store without faults.
	 * @return the faults
	 */
	public static StoreFaults none() {
		return new StoreFaults();
	}

	private StoreFaults() {
	}

	private static double requireProbability(double value, String name) {
		// The negated form also rejects NaN.
		if (!(value >= 0 && value <= 1)) {
			throw new IllegalArgumentException(name + " must be from 0 to 1, but was " + value);
		}
		return value;
	}

	/**
	 * Returns whether all calls time out without effect.
	 * @return whether the store is unavailable
	 */
	public boolean unavailable() {
		return this.unavailable;
	}

	/**
	 * Returns the latency added before a call takes effect.
	 * @return the extra latency, not negative
	 */
	public Duration extraLatency() {
		return this.extraLatency;
	}

	/**
	 * Returns how often a call fails before it takes effect.
	 * @return the probability, 0 to 1
	 */
	public double failBeforeProbability() {
		return this.failBeforeProbability;
	}

	/**
	 * Returns how often the answer of a call that took effect is lost.
	 * @return the probability, 0 to 1
	 */
	public double lostAnswerProbability() {
		return this.lostAnswerProbability;
	}

	/**
	 * Makes all calls time out, or not.
	 * @param unavailable whether the store is unavailable
	 */
	public void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
	}

	/**
	 * Sets the latency added before a call takes effect. A call slower than the time-out
	 * of the caller can take effect after the caller was told of the time-out.
	 * @param extraLatency the extra latency, not negative
	 * @throws IllegalArgumentException if it is negative
	 */
	public void setExtraLatency(Duration extraLatency) {
		Arguments.requireRange(extraLatency.toNanos(), 0, Long.MAX_VALUE, "extra latency in nanoseconds");
		this.extraLatency = extraLatency;
	}

	/**
	 * Sets how often a call fails before it takes effect.
	 * @param probability the probability, 0 to 1
	 * @throws IllegalArgumentException if it is out of range
	 */
	public void setFailBeforeProbability(double probability) {
		this.failBeforeProbability = requireProbability(probability, "probability of failing before a call");
	}

	/**
	 * Sets how often the answer of a call that took effect is lost.
	 * @param probability the probability, 0 to 1
	 * @throws IllegalArgumentException if it is out of range
	 */
	public void setLostAnswerProbability(double probability) {
		this.lostAnswerProbability = requireProbability(probability, "probability of losing an answer");
	}

}
