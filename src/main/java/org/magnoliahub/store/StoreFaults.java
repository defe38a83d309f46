package org.magnoliahub.store;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Faults to inject into the calls of a store. They can be changed while the store is in
 * use.
 */
public final class StoreFaults {

	private boolean unavailable;

	private Duration extraLatency = Duration.ZERO;

	private double failBeforeProbability;

	private double lostResponseProbability;

	/**
	 * Creates an instance without faults.
	 * @return the instance
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
	 * Returns whether all calls time out and have no effect.
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
	 * Returns the probability that a call fails before it takes effect.
	 * @return the probability, 0 to 1
	 */
	public double failBeforeProbability() {
		return this.failBeforeProbability;
	}

	/**
	 * Returns the probability that the response is lost although the call takes effect.
	 * @return the probability, 0 to 1
	 */
	public double lostResponseProbability() {
		return this.lostResponseProbability;
	}

	/**
	 * Sets whether all calls time out and have no effect.
	 * @param unavailable whether the store is unavailable
	 */
	public void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
	}

	/**
	 * Sets the latency added before a call takes effect. A call that is slower than the
	 * timeout can take effect after the caller received the timeout error.
	 * @param extraLatency the extra latency, not negative
	 * @throws IllegalArgumentException if it is negative
	 */
	public void setExtraLatency(Duration extraLatency) {
		Arguments.requireRange(extraLatency.toNanos(), 0, Long.MAX_VALUE, "extra latency in nanoseconds");
		this.extraLatency = extraLatency;
	}

	/**
	 * Sets the probability that a call fails before it takes effect.
	 * @param probability the probability, 0 to 1
	 * @throws IllegalArgumentException if it is out of range
	 */
	public void setFailBeforeProbability(double probability) {
		this.failBeforeProbability = requireProbability(probability, "probability of failing before a call");
	}

	/**
	 * Sets the probability that the response is lost although the call takes effect.
	 * @param probability the probability, 0 to 1
	 * @throws IllegalArgumentException if it is out of range
	 */
	public void setLostResponseProbability(double probability) {
		this.lostResponseProbability = requireProbability(probability, "probability of losing an answer");
	}

}
