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
 * Memory of the non-idempotent attempts that an agent was asked to run or to revoke. An
 * attempt that started is kept for the retention time after its last change, so if its
 * recorded agent time is younger than that and it has no entry, it never started. An
 * attempt that never started is kept for the maximum age, after which its message would
 * be refused as stale.
 */
final class AttemptLedger {

	private static final StageOutput NO_OUTPUT = new StageOutput("", "", 0, 0);

	private final AgentLimits limits;

	private final Map<AttemptId, Entry> entries = new HashMap<>();

	private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::dueMillis));

	private long bytes;

	private long promisedMillis = Long.MIN_VALUE;

	AttemptLedger(AgentLimits limits) {
		this.limits = limits;
	}

	/**
	 * Finds what is known of an attempt.
	 * @param attempt the attempt
	 * @return its state, empty if there is no entry
	 */
	Optional<AttemptState> state(AttemptId attempt) {
		return Optional.ofNullable(this.entries.get(attempt)).map(Entry::state);
	}

	/**
	 * Returns the result of an attempt.
	 * @param attempt the attempt
	 * @return its result, an empty one if it has none
	 */
	StageOutput output(AttemptId attempt) {
		Entry entry = this.entries.get(attempt);
		return (entry != null) ? entry.output() : NO_OUTPUT;
	}

	/**
	 * Returns whether another attempt can be remembered with its result.
	 * @return {@code false} if a limit is reached
	 */
	boolean hasRoom() {
		return this.entries.size() < this.limits.maximumLedgerEntries()
				&& this.bytes < this.limits.maximumLedgerBytes();
	}

	/**
	 * Returns whether an attempt without an entry may have been promised not to start
	 * while the ledger was full.
	 * @param agentMillisSeen agent's monotonic time recorded with the attempt
	 * @return {@code true} if it must not start
	 */
	boolean mayHavePromised(long agentMillisSeen) {
		return agentMillisSeen <= this.promisedMillis;
	}

	/**
	 * Records a state without a result. If the ledger is full, an attempt that never
	 * started gets no entry; instead all attempts recorded up to now are refused.
	 * @param attempt the attempt
	 * @param state its new state
	 * @param nowMillis the agent's monotonic time
	 */
	void record(AttemptId attempt, AttemptState state, long nowMillis) {
		boolean isNew = !this.entries.containsKey(attempt);
		if (isNew && state == AttemptState.NEVER_STARTED && !hasRoom()) {
			this.promisedMillis = nowMillis;
			return;
		}
		put(attempt, new Entry(state, NO_OUTPUT, dueMillis(state, nowMillis)));
	}

	/**
	 * Records a result.
	 * @param attempt the attempt
	 * @param output its result
	 * @param nowMillis the agent's monotonic time
	 */
	void recordCompleted(AttemptId attempt, StageOutput output, long nowMillis) {
		put(attempt, new Entry(AttemptState.COMPLETED, output, dueMillis(AttemptState.COMPLETED, nowMillis)));
	}

	/**
	 * Removes entries whose retention has ended; running attempts stay.
	 * @param nowMillis the agent's monotonic time
	 */
	void evict(long nowMillis) {
		while (!this.expiries.isEmpty() && this.expiries.peek().dueMillis() < nowMillis) {
			Expiry expiry = this.expiries.remove();
			Entry entry = this.entries.get(expiry.attempt());
			if (entry == null || entry.dueMillis() != expiry.dueMillis()) {
				continue;
			}
			if (entry.state() == AttemptState.RUNNING) {
				record(expiry.attempt(), AttemptState.RUNNING, nowMillis);
				continue;
			}
			this.entries.remove(expiry.attempt());
			this.bytes -= entry.size();
		}
	}

	int size() {
		return this.entries.size();
	}

	private void put(AttemptId attempt, Entry entry) {
		Entry previous = this.entries.put(attempt, entry);
		this.bytes += entry.size() - ((previous != null) ? previous.size() : 0);
		this.expiries.add(new Expiry(attempt, entry.dueMillis()));
	}

	private long dueMillis(AttemptState state, long nowMillis) {
		Duration kept = (state == AttemptState.NEVER_STARTED) ? this.limits.maximumAge() : this.limits.retention();
		return nowMillis + kept.toMillis();
	}

	private record Entry(AttemptState state, StageOutput output, long dueMillis) {

		long size() {
			return 2L * this.output.content().length();
		}

	}

	private record Expiry(AttemptId attempt, long dueMillis) {

	}

}
