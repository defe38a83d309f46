package org.magnoliahub.gateway;

import org.magnoliahub.model.Arguments;

/**
 * Token bucket that limits retries to a percentage of successes, so that an outage does
 * not multiply the load.
 */
final class RetryBudget {

	private final double tokensPerSuccess;

	private final double maximumTokens;

	private double tokens;

	private RetryBudget(double tokensPerSuccess, double maximumTokens) {
		this.tokensPerSuccess = tokensPerSuccess;
		this.maximumTokens = maximumTokens;
		this.tokens = maximumTokens;
	}

	/**
	 * Creates a budget whose bucket is full.
	 * @param percentOfSuccesses retries allowed per hundred successes, 0 to 100
	 * @param maximumTokens maximum number of unused retries that accumulate, at least 0
	 * @return the budget
	 * @throws IllegalArgumentException if an argument is out of range
	 */
	static RetryBudget of(int percentOfSuccesses, int maximumTokens) {
		Arguments.requireRange(percentOfSuccesses, 0, 100, "percent of successes");
		Arguments.requireRange(maximumTokens, 0, 1_000_000, "maximum retry tokens");
		return new RetryBudget(percentOfSuccesses / 100.0, maximumTokens);
	}

	void recordSuccess() {
		this.tokens = Math.min(this.maximumTokens, this.tokens + this.tokensPerSuccess);
	}

	/**
	 * Consumes one token, if there is one.
	 * @return whether a retry is allowed
	 */
	boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
