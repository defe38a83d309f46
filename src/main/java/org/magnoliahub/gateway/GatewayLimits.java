package org.magnoliahub.gateway;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Limits of a gateway.
 *
 * @param maximumRequestsInFlight most requests in flight, at least 1
 * @param maximumAttemptsPerStage most attempts at one stage, at least 1
 * @param retryBudgetPercent retries allowed for each hundred successful stages, 0 to 100
 * @param maximumRetryTokens most retries saved up while there are few, at least 0
 * @param retryBackoff mean time before the first retry; doubles with each further one
 * @param endpointWaitTimeout how long a stage waits while no endpoint of its pool is
 * connected
 * @param deadlineMargin time kept back from the agent's budget so that its refusal
 * arrives before the deadline
 * @param takeoverDelay how long a claim must stay unchanged before another gateway takes
 * it over
 * @param lateResultTimeout how long the result of a non-idempotent call is awaited after
 * its deadline
 */
public record GatewayLimits(int maximumRequestsInFlight, int maximumAttemptsPerStage, int retryBudgetPercent,
		int maximumRetryTokens, Duration retryBackoff, Duration endpointWaitTimeout, Duration deadlineMargin,
		Duration takeoverDelay, Duration lateResultTimeout) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public GatewayLimits {
		Arguments.requireRange(maximumRequestsInFlight, 1, 1_000_000, "maximum of requests in flight");
		Arguments.requireRange(maximumAttemptsPerStage, 1, 100, "maximum of attempts per stage");
	}

	/**
	 * Returns the limits that are used where nothing else is set.
	 * @return the limits
	 */
	public static GatewayLimits defaults() {
		return new GatewayLimits(2_000, 3, 10, 20, Duration.ofMillis(20), Duration.ofSeconds(1), Duration.ofMillis(20),
				Duration.ofSeconds(2), Duration.ofSeconds(60));
	}

	/**
	 * Returns a copy with another limit of requests.
	 * @param maximum most requests in flight, at least 1
	 * @return the copy
	 * @throws IllegalArgumentException if the limit is out of range
	 */
	public GatewayLimits withMaximumRequestsInFlight(int maximum) {
		return new GatewayLimits(maximum, this.maximumAttemptsPerStage, this.retryBudgetPercent,
				this.maximumRetryTokens, this.retryBackoff, this.endpointWaitTimeout, this.deadlineMargin,
				this.takeoverDelay, this.lateResultTimeout);
	}

}
