package org.magnoliahub.claim;

import java.time.Duration;

import org.magnoliahub.model.Arguments;
import org.magnoliahub.store.Transaction;

/**
 * Settings of {@link ClaimRepository} and {@link ClaimCleanup}. The retention settings
 * must be the same in all processes.
 *
 * @param batchWindow time that the first write waits for further writes to share its
 * transaction
 * @param maximumTransactionsInFlight maximum number of transactions in flight, at least 1
 * @param maximumWritesPerTransaction maximum number of claims written by one transaction,
 * at least 1
 * @param maximumQueuedWrites maximum number of claims that wait for a transaction, at
 * least 1
 * @param transactionTimeout time after which a transaction without a response counts as
 * failed, positive
 * @param minimumBackoff backoff after the first failure, doubled with each further
 * failure
 * @param maximumBackoff maximum backoff
 * @param retentionBucket duration of a bucket of claims that are removed together,
 * positive
 * @param retentionBuckets number of full buckets for which a claim is retained, at least
 * 1
 */
public record ClaimSettings(Duration batchWindow, int maximumTransactionsInFlight, int maximumWritesPerTransaction,
		int maximumQueuedWrites, Duration transactionTimeout, Duration minimumBackoff, Duration maximumBackoff,
		Duration retentionBucket, int retentionBuckets) {

	/**
	 * Validates all components.
	 * @throws IllegalArgumentException if a component is out of range
	 */
	public ClaimSettings {
		Arguments.requireRange(batchWindow.toNanos(), 0, Long.MAX_VALUE, "batch window in nanoseconds");
		Arguments.requireRange(maximumTransactionsInFlight, 1, 1000, "transactions in flight");
		Arguments.requireRange(maximumWritesPerTransaction, 1, Transaction.MAXIMUM_WRITES, "claims per transaction");
		Arguments.requireRange(maximumQueuedWrites, 1, Integer.MAX_VALUE, "queued writes");
		Arguments.requireRange(transactionTimeout.toNanos(), 1, Long.MAX_VALUE, "transaction time-out in nanoseconds");
		Arguments.requireRange(minimumBackoff.toNanos(), 1, Long.MAX_VALUE, "minimum backoff in nanoseconds");
		Arguments.requireRange(maximumBackoff.toNanos(), minimumBackoff.toNanos(), Long.MAX_VALUE,
				"maximum backoff in nanoseconds");
		Arguments.requireRange(retentionBucket.toNanos(), 1, Long.MAX_VALUE, "retention bucket in nanoseconds");
		Arguments.requireRange(retentionBuckets, 1, 1_000_000, "retention buckets");
	}

	/**
	 * Returns the settings for production use. Claims are retained for 24 hours.
	 * @return the settings
	 */
	public static ClaimSettings defaults() {
		return new ClaimSettings(Duration.ofMillis(2), 4, Transaction.MAXIMUM_WRITES, 10_000, Duration.ofSeconds(1),
				Duration.ofMillis(10), Duration.ofMillis(500), Duration.ofHours(1), 24);
	}

	/**
	 * Returns a copy with different limits.
	 * @param inFlight maximum number of transactions in flight, at least 1
	 * @param claims maximum number of claims written by one transaction, at least 1
	 * @return the copy
	 * @throws IllegalArgumentException if a limit is out of range
	 */
	public ClaimSettings withLimits(int inFlight, int claims) {
		return new ClaimSettings(this.batchWindow, inFlight, claims, this.maximumQueuedWrites, this.transactionTimeout,
				this.minimumBackoff, this.maximumBackoff, this.retentionBucket, this.retentionBuckets);
	}

}
