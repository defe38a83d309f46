package org.magnoliahub.gateway;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Limits of a gateway.
 *
 * @param maximumRequestsInFlight maximum number of requests in flight, at least 1
 * @param maximumAttemptsPerStage maximum number of attempts per stage, at least 1
 * @param retryBudgetPercent retries allowed per hundred successful stages, 0 to 100
 * @param maximumRetryTokens maximum number of unused retries that accumulate, at least 0
 * @param retryBackoff mean delay before the first retry, doubled for each further retry
 * @param endpointWaitTimeout maximum time that a stage waits while no endpoint of its
 * pool is connected
 * @param deadlineMargin time subtracted from the budget that is sent to the agent, so
 * that its rejection arrives before the deadline
 * @param takeoverDelay time that a claim must stay unchanged before another gateway takes
 * it over
 * @param lateResultTimeout maximum time to wait for the result of a non-idempotent call
 * after the deadline
 */
public record GatewayLimits(int maximumRequestsInFlight, int maximumAttemptsPerStage, int retryBudgetPercent,
		int maximumRetryTokens, Duration retryBackoff, Duration endpointWaitTimeout, Duration deadlineMargin,
		Duration takeoverDelay, Duration lateResultTimeout) {

	/**
	 * Validates the limits.
	 * @throws IllegalArgumentException if a limit is out of range
	 */
	public GatewayLimits {
		Arguments.requireRange(maximumRequestsInFlight, 1, 1_000_000, "maximum requests in flight");
		Arguments.requireRange(maximumAttemptsPerStage, 1, 100, "maximum attempts per stage");
	}

	/**
	 * Returns the default limits.
	 * @return the limits
	 */
	public static GatewayLimits defaults() {
		return new GatewayLimits(2_000, 3, 10, 20, Duration.ofMillis(20), Duration.ofSeconds(1), Duration.ofMillis(20),
				Duration.ofSeconds(2), Duration.ofSeconds(60));
	}

	/**
	 * Returns a copy with a different limit on requests in flight.
	 * @param maximum maximum number of requests in flight, at least 1
	 * @return the copy
	 * @throws IllegalArgumentException if the limit is out of range
	 */
	public GatewayLimits withMaximumRequestsInFlight(int maximum) {
		return new GatewayLimits(maximum, this.maximumAttemptsPerStage, this.retryBudgetPercent,
				this.maximumRetryTokens, this.retryBackoff, this.endpointWaitTimeout, this.deadlineMargin,
				this.takeoverDelay, this.lateResultTimeout);
	}

}
