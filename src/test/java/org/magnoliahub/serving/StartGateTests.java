package org.magnoliahub.serving;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a burst in which all requests start and none is in time.
 */
class StartGateTests {

	private final StartGate gate = new StartGate();

	private final AtomicLong wait = new AtomicLong();

	private static void nothing() {
	}

	private StartGate.Entry entry(long objectiveAt, int priority) {
		return new StartGate.Entry(this.wait::get, 1_000, objectiveAt, 4 * objectiveAt, priority,
				StartGateTests::nothing, StartGateTests::nothing);
	}

	@Test
	void requestStartsWhileQueuesAreShort() {
		this.wait.set(200);
		assertThat(this.gate.offer(entry(100, 0), 0)).isEqualTo(StartGate.Decision.START);
	}

	@Test
	void requestThatCanBeInTimeStartsDespiteQueues() {
		this.wait.set(900);
		assertThat(this.gate.offer(entry(2_000, 0), 0)).isEqualTo(StartGate.Decision.START);
	}

	@Test
	void requestThatWouldBeLateWaitsUntilQueuesAreShort() {
		this.wait.set(1_100);
		StartGate.Entry late = entry(2_000, 0);
		assertThat(this.gate.offer(late, 0)).isEqualTo(StartGate.Decision.WAIT);
		assertThat(this.gate.next()).isNull();
		this.wait.set(100);
		assertThat(this.gate.next()).isSameAs(late);
		assertThat(this.gate.size()).isZero();
	}

	@Test
	void moreUrgentRankStartsFirst() {
		this.wait.set(5_000);
		StartGate.Entry low = entry(1_000, 2);
		StartGate.Entry high = entry(1_500, 0);
		this.gate.offer(low, 0);
		this.gate.offer(high, 0);
		this.wait.set(0);
		assertThat(this.gate.next()).isSameAs(high);
		assertThat(this.gate.next()).isSameAs(low);
	}

	@Test
	void endedRequestNeverStarts() {
		this.wait.set(5_000);
		StartGate.Entry ended = entry(1_000, 0);
		this.gate.offer(ended, 0);
		this.gate.remove(ended);
		this.wait.set(0);
		assertThat(this.gate.next()).isNull();
	}

	@Test
	void requestWhoseCallerWouldLeaveBeforeItsStagesEndIsRefusedAtOnce() {
		this.wait.set(5_000);
		assertThat(this.gate.offer(entry(2_000, 0), 7_500)).isEqualTo(StartGate.Decision.REFUSE);
	}

	@Test
	void requestThatCannotBeDoneAnyMoreLeavesTheQueue() {
		this.wait.set(5_000);
		StartGate.Entry late = entry(2_000, 0);
		this.gate.offer(late, 0);
		assertThat(this.gate.removeExpired(6_900)).isEmpty();
		assertThat(this.gate.removeExpired(7_100)).containsExactly(late);
	}

}
