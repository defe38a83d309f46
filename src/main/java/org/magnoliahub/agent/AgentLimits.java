package org.magnoliahub.agent;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Limits on the queue, the running calls and the attempt ledger of an agent.
 *
 * @param maximumRunning maximum number of calls running at the back end, at least 1
 * @param maximumWaiting maximum number of queued calls, at least 0
 * @param maximumLedgerEntries maximum number of non-idempotent attempts in the ledger, at
 * least 1
 * @param maximumLedgerBytes maximum size of all results in the ledger, in bytes, at least
 * 1
 * @param maximumResultLength maximum length of a single result, in characters, at least 1
 * @param retention how long the ledger keeps a non-idempotent attempt after its last
 * state change, longer than {@code maximumAge}
 * @param maximumAge maximum time between the agent time that the gateway recorded with a
 * non-idempotent attempt and the arrival of the attempt; older attempts are rejected as
 * stale
 */
public record AgentLimits(int maximumRunning, int maximumWaiting, int maximumLedgerEntries, long maximumLedgerBytes,
		int maximumResultLength, Duration retention, Duration maximumAge) {

	/**
	 * Validates the limits.
	 * @throws IllegalArgumentException if a value is out of range or {@code retention} is
	 * not longer than {@code maximumAge}
	 */
	public AgentLimits {
		Arguments.requireRange(maximumRunning, 1, 100_000, "maximum number of running calls");
		Arguments.requireRange(maximumWaiting, 0, 1_000_000, "maximum number of waiting calls");
		Arguments.requireRange(maximumLedgerEntries, 1, 10_000_000, "maximum number of ledger entries");
		Arguments.requireRange(maximumLedgerBytes, 1, Long.MAX_VALUE, "maximum size of the ledger in bytes");
		Arguments.requireRange(maximumResultLength, 1, 1_000_000, "maximum length of a result");
		if (retention.compareTo(maximumAge) <= 0) {
			throw new IllegalArgumentException(
					"retention must be longer than the maximum age " + maximumAge + ", but was " + retention);
		}
	}

	/**
	 * Returns the default limits; four times as many calls may wait as may run.
	 * @param maximumRunning maximum number of calls running at the back end
	 * @return the default limits
	 */
	public static AgentLimits of(int maximumRunning) {
		return new AgentLimits(maximumRunning, 4 * maximumRunning, 20_000, 8_000_000, 256_000, Duration.ofMinutes(10),
				Duration.ofSeconds(30));
	}

}
