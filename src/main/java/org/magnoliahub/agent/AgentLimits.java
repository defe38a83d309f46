package org.magnoliahub.agent;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Limits of an agent.
 *
 * @param maximumRunning most calls in execution at the back end, at least 1
 * @param maximumWaiting most calls waiting for execution, at least 0
 * @param maximumLedgerEntries most non-idempotent attempts that are remembered, at least
 * 1
 * @param maximumLedgerBytes most bytes of results that are remembered, at least 1
 * @param maximumResultLength most characters of one result, at least 1
 * @param retention how long a non-idempotent attempt is remembered after its last change,
 * longer than {@code maximumAge}
 * @param maximumAge longest time between the agent time seen by a gateway and the arrival
 * of the attempt
 */
public record AgentLimits(int maximumRunning, int maximumWaiting, int maximumLedgerEntries, long maximumLedgerBytes,
		int maximumResultLength, Duration retention, Duration maximumAge) {

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if a value is out of range
	 */
	public AgentLimits {
		Arguments.requireRange(maximumRunning, 1, 100_000, "maximum of running calls");
		Arguments.requireRange(maximumWaiting, 0, 1_000_000, "maximum of waiting calls");
		Arguments.requireRange(maximumLedgerEntries, 1, 10_000_000, "maximum of ledger entries");
		Arguments.requireRange(maximumLedgerBytes, 1, Long.MAX_VALUE, "maximum of ledger bytes");
		Arguments.requireRange(maximumResultLength, 1, 1_000_000, "maximum length of a result");
		if (retention.compareTo(maximumAge) <= 0) {
			throw new IllegalArgumentException(
					"retention must be longer than the maximum age " + maximumAge + ", but was " + retention);
		}
	}

	/**
	 * Returns the limits that are used where nothing else is set.
	 * @param maximumRunning most calls in execution at the back end
	 * @return the limits
	 */
	public static AgentLimits of(int maximumRunning) {
		return new AgentLimits(maximumRunning, 4 * maximumRunning, 20_000, 8_000_000, 256_000, Duration.ofMinutes(10),
				Duration.ofSeconds(30));
	}

}
