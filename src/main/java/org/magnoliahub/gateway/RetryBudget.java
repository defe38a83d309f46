package org.magnoliahub.gateway;

import org.magnoliahub.model.Arguments;

/**
 * Limits retries to a share of successes, so that an outage does not multiply the load.
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
	 * Creates a budget that starts full.
	 * @param percentOfSuccesses retries allowed for each hundred successes
	 * @param maximumTokens most retries saved up
	 * @return the budget
	 * @throws IllegalArgumentException if a number is out of range
	 */
	static RetryBudget of(int percentOfSuccesses, int maximumTokens) {
		Arguments.requireRange(percentOfSuccesses, 0, 100, "percent of successes");
		Arguments.requireRange(maximumTokens, 0, 1_000_000, "maximum of retries");
		return new RetryBudget(percentOfSuccesses / 100.0, maximumTokens);
	}

	void recordSuccess() {
		this.tokens = Math.min(this.maximumTokens, this.tokens + this.tokensPerSuccess);
	}

	/**
	 * Takes one retry.
	 * @return whether a retry is allowed
	 */
	boolean tryTake() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
