package org.magnoliahub.gateway;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Limits of a gateway.
 *
 * @param maximumRequests most requests in flight, at least 1
 * @param maximumAttemptsPerStage most attempts at one stage, at least 1
 * @param retryPercent retries allowed for each hundred successful stages, 0 to 100
 * @param maximumRetriesSaved most retries saved up while there are few, at least 0
 * @param retryBackoff mean time before the first retry; doubles with each further one
 * @param endpointPatience how long a stage waits while no endpoint of its pool is
 * connected
 * @param answerMargin time kept back from the agent's budget so that its refusal arrives
 * before the deadline
 * @param takeoverDelay how long a claim must stay unchanged before another gateway takes
 * it over
 * @param lateResultTimeout how long the result of a non-idempotent call is awaited after
 * its deadline
 */
public record GatewayLimits(int maximumRequests, int maximumAttemptsPerStage, int retryPercent, int maximumRetriesSaved,
		Duration retryBackoff, Duration endpointPatience, Duration answerMargin, Duration takeoverDelay,
		Duration lateResultTimeout) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public GatewayLimits {
		Arguments.requireRange(maximumRequests, 1, 1_000_000, "maximum of requests in flight");
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
	public GatewayLimits withMaximumRequests(int maximum) {
		return new GatewayLimits(maximum, this.maximumAttemptsPerStage, this.retryPercent, this.maximumRetriesSaved,
				this.retryBackoff, this.endpointPatience, this.answerMargin, this.takeoverDelay,
				this.lateResultTimeout);
	}

}
