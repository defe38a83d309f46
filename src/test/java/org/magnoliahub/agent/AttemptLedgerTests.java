package org.magnoliahub.agent;

import org.junit.jupiter.api.Test;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.AttemptState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entries that are evicted too early, so that an attempt could run twice,
 * or never, so that the ledger stays full.
 */
class AttemptLedgerTests {

	private static final long RETENTION_MS = AgentFixture.LIMITS.retention().toMillis();

	private static final long MAXIMUM_AGE_MS = AgentFixture.LIMITS.maximumAge().toMillis();

	private final AttemptLedger ledger = new AttemptLedger(AgentFixture.LIMITS);

	@Test
	void keepsEndedAttemptForRetentionAfterLastChange() {
		this.ledger.record(AgentFixture.attempt(1), AttemptState.RUNNING, 0);
		this.ledger.record(AgentFixture.attempt(1), AttemptState.FAILED, 1_000);
		this.ledger.evict(RETENTION_MS + 1_000);
		assertThat(this.ledger.state(AgentFixture.attempt(1))).contains(AttemptState.FAILED);
		this.ledger.evict(RETENTION_MS + 1_001);
		assertThat(this.ledger.state(AgentFixture.attempt(1))).isEmpty();
	}

	@Test
	void neverEvictsRunningAttempt() {
		this.ledger.record(AgentFixture.attempt(1), AttemptState.RUNNING, 0);
		for (int i = 1; i <= 3; i++) {
			this.ledger.evict(i * (RETENTION_MS + 1));
		}
		assertThat(this.ledger.state(AgentFixture.attempt(1))).contains(AttemptState.RUNNING);
	}

	@Test
	void keepsNeverStartedAttemptForMaximumAge() {
		this.ledger.record(AgentFixture.attempt(1), AttemptState.NEVER_STARTED, 0);
		this.ledger.evict(MAXIMUM_AGE_MS);
		assertThat(this.ledger.state(AgentFixture.attempt(1))).contains(AttemptState.NEVER_STARTED);
		this.ledger.evict(MAXIMUM_AGE_MS + 1);
		assertThat(this.ledger.state(AgentFixture.attempt(1))).isEmpty();
	}

	@Test
	void releasesBytesOfEvictedResults() {
		this.ledger.recordCompleted(AgentFixture.attempt(1), new StageOutput("stage", "x".repeat(500), 1, 1), 0);
		assertThat(this.ledger.hasCapacity()).isFalse();
		this.ledger.evict(RETENTION_MS + 1);
		assertThat(this.ledger.hasCapacity()).isTrue();
	}

	/** Guards against memory that grows with every rejected or revoked attempt. */
	@Test
	void addsNoNeverStartedEntriesWhenFull() {
		for (int number = 1; number <= 100; number++) {
			this.ledger.record(AgentFixture.attempt(number), AttemptState.NEVER_STARTED, number);
		}
		assertThat(this.ledger.size()).isEqualTo(AgentFixture.LIMITS.maximumLedgerEntries());
	}

}
