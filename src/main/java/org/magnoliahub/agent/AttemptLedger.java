package org.magnoliahub.agent;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.AttemptState;

/**
 * Records the state of the non-idempotent attempts that an agent was asked to run or to
 * revoke. An attempt that started is kept for the retention time after its last state
 * change: an attempt without an entry whose recorded agent time is within the retention
 * time has therefore never started. An attempt that never started is kept for the maximum
 * age; if it arrives later, it is rejected as stale.
 */
final class AttemptLedger {

	private static final StageOutput EMPTY_OUTPUT = new StageOutput("", "", 0, 0);

	private final AgentLimits limits;

	private final Map<AttemptId, Entry> entries = new HashMap<>();

	private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::expiryMillis));

	private long storedResultBytes;

	private long refusalWatermarkMillis = Long.MIN_VALUE;

	AttemptLedger(AgentLimits limits) {
		this.limits = limits;
	}

	/**
	 * Returns the recorded state of an attempt.
	 * @param attempt the attempt
	 * @return the state, empty if the ledger has no entry for it
	 */
	Optional<AttemptState> state(AttemptId attempt) {
		return Optional.ofNullable(this.entries.get(attempt)).map(Entry::state);
	}

	/**
	 * Returns the recorded result of an attempt.
	 * @param attempt the attempt
	 * @return the result, an empty output if none is recorded
	 */
	StageOutput output(AttemptId attempt) {
		Entry entry = this.entries.get(attempt);
		return (entry != null) ? entry.output() : EMPTY_OUTPUT;
	}

	/**
	 * Returns whether the ledger can take another attempt.
	 * @return {@code false} if the maximum number of entries or bytes is reached
	 */
	boolean hasCapacity() {
		return this.entries.size() < this.limits.maximumLedgerEntries()
				&& this.storedResultBytes < this.limits.maximumLedgerBytes();
	}

	/**
	 * Returns whether an attempt without an entry may have been reported as never started
	 * while the ledger was full.
	 * @param agentMillisSeen the agent's monotonic time that the gateway recorded with
	 * the attempt, in milliseconds
	 * @return {@code true} if the attempt must not start
	 */
	boolean isCoveredByRefusalWatermark(long agentMillisSeen) {
		return agentMillisSeen <= this.refusalWatermarkMillis;
	}

	/**
	 * Records a state without a result. If the ledger is full, a new attempt that never
	 * started gets no entry. Instead the refusal watermark moves to the current time, and
	 * every attempt without an entry that a gateway recorded up to then is refused.
	 * @param attempt the attempt
	 * @param state its new state
	 * @param nowMillis the agent's monotonic time, in milliseconds
	 */
	void record(AttemptId attempt, AttemptState state, long nowMillis) {
		boolean isNew = !this.entries.containsKey(attempt);
		if (isNew && state == AttemptState.NEVER_STARTED && !hasCapacity()) {
			this.refusalWatermarkMillis = nowMillis;
			return;
		}
		put(attempt, new Entry(state, EMPTY_OUTPUT, expiryMillis(state, nowMillis)));
	}

	/**
	 * Records the result of a completed attempt.
	 * @param attempt the attempt
	 * @param output its result
	 * @param nowMillis the agent's monotonic time, in milliseconds
	 */
	void recordCompleted(AttemptId attempt, StageOutput output, long nowMillis) {
		put(attempt, new Entry(AttemptState.COMPLETED, output, expiryMillis(AttemptState.COMPLETED, nowMillis)));
	}

	/**
	 * Removes expired entries. The entry of a running attempt is kept for another
	 * retention time.
	 * @param nowMillis the agent's monotonic time, in milliseconds
	 */
	void evict(long nowMillis) {
		while (!this.expiries.isEmpty() && this.expiries.peek().expiryMillis() < nowMillis) {
			Expiry expiry = this.expiries.remove();
			Entry entry = this.entries.get(expiry.attempt());
			if (entry == null || entry.expiryMillis() != expiry.expiryMillis()) {
				continue;
			}
			if (entry.state() == AttemptState.RUNNING) {
				record(expiry.attempt(), AttemptState.RUNNING, nowMillis);
				continue;
			}
			this.entries.remove(expiry.attempt());
			this.storedResultBytes -= entry.resultBytes();
		}
	}

	int size() {
		return this.entries.size();
	}

	private void put(AttemptId attempt, Entry entry) {
		Entry previous = this.entries.put(attempt, entry);
		this.storedResultBytes += entry.resultBytes() - ((previous != null) ? previous.resultBytes() : 0);
		this.expiries.add(new Expiry(attempt, entry.expiryMillis()));
	}

	private long expiryMillis(AttemptState state, long nowMillis) {
		Duration retention = (state == AttemptState.NEVER_STARTED) ? this.limits.maximumAge() : this.limits.retention();
		return nowMillis + retention.toMillis();
	}

	private record Entry(AttemptState state, StageOutput output, long expiryMillis) {

		long resultBytes() {
			return 2L * this.output.content().length();
		}

	}

	private record Expiry(AttemptId attempt, long expiryMillis) {

	}

}
