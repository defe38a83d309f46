package org.magnoliahub.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.reactivex.rxjava3.observers.TestObserver;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against attempts that run twice, revoked attempts that start after all, and
 * gateways that never get a response. Each case states how many calls the back end of an
 * agent receives and which messages the agent sends to its two gateways.
 */
class EndpointAgentTests {

	private static final long OTHER_INCARNATION = AgentFixture.INCARNATION + 1;

	private static final List<String> NO_MESSAGES = List.of();

	@ParameterizedTest(name = "{0}")
	@MethodSource({ "executions", "revocations", "connections", "deadlines", "drains" })
	void runsAttemptsAndNotifiesGateways(String name, Consumer<AgentFixture> steps, int backEndCalls,
			List<String> firstReceived, List<String> secondReceived) {
		AgentFixture fixture = new AgentFixture();
		steps.accept(fixture);
		assertThat(fixture.backEndCalls()).as("back-end calls").isEqualTo(backEndCalls);
		assertThat(fixture.firstLink.receivedMessages).as("first gateway").isEqualTo(firstReceived);
		assertThat(fixture.secondLink.receivedMessages).as("second gateway").isEqualTo(secondReceived);
	}

	private static Arguments testCase(String name, Consumer<AgentFixture> steps, int backEndCalls,
			List<String> firstReceived, List<String> secondReceived) {
		return Arguments.of(name, steps, backEndCalls, firstReceived, secondReceived);
	}

	static Stream<Arguments> executions() {
		return Stream.of(testCase("idempotent attempt is streamed", (f) -> {
			f.executeIdempotent(f.firstLink, 1);
			f.emitChunk(0, "a");
			f.finish(0, "b");
		}, 1, List.of("Chunk 1 0 a", "Chunk 1 1 b", "Completed 1"), NO_MESSAGES),
				testCase("result of a non-idempotent attempt is sent as one message", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.emitChunk(0, "a");
					f.finish(0, "b");
				}, 1, List.of("Completed 1 ab"), NO_MESSAGES),
				testCase("duplicate of a running non-idempotent attempt gets the same result", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.executeNonIdempotent(f.secondLink, 1);
					f.finish(0, "a");
				}, 1, List.of("Completed 1 a"), List.of("Completed 1 a")),
				testCase("duplicate of a completed non-idempotent attempt gets the stored result", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.finish(0, "a");
					f.executeNonIdempotent(f.secondLink, 1);
				}, 1, List.of("Completed 1 a"), List.of("Completed 1 a")),
				testCase("duplicate of a failed non-idempotent attempt does not run again", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.fail(0, true);
					f.executeNonIdempotent(f.secondLink, 1);
				}, 1, List.of("Failed 1"), List.of("Failed 1")),
				testCase("non-idempotent attempt that the back end refused never starts again", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.fail(0, false);
					f.executeNonIdempotent(f.secondLink, 1);
				}, 1, List.of("Rejected 1 ENDPOINT_UNREACHABLE"), List.of("Rejected 1 REVOKED")),
				testCase("attempt for another incarnation is rejected",
						(f) -> f.execute(f.firstLink, 1, false, OTHER_INCARNATION, f.now(), 100), 0,
						List.of("Rejected 1 WRONG_INCARNATION"), NO_MESSAGES),
				testCase("non-idempotent attempt at the maximum age runs", (f) -> {
					f.advance(40_000);
					f.execute(f.firstLink, 1, false, AgentFixture.INCARNATION, 10_000, 100);
				}, 1, NO_MESSAGES, NO_MESSAGES),
				testCase("non-idempotent attempt above the maximum age is stale", (f) -> {
					f.advance(40_000);
					f.execute(f.firstLink, 1, false, AgentFixture.INCARNATION, 9_999, 100);
				}, 0, List.of("Rejected 1 STALE"), NO_MESSAGES),
				testCase("non-idempotent attempt with an agent time in the future is stale",
						(f) -> f.execute(f.firstLink, 1, false, AgentFixture.INCARNATION, f.now() + 1, 100), 0,
						List.of("Rejected 1 STALE"), NO_MESSAGES),
				testCase("attempt is rejected when the queue is full", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.executeNonIdempotent(f.firstLink, 2);
					f.executeNonIdempotent(f.firstLink, 3);
				}, 1, List.of("Rejected 3 QUEUE_FULL"), NO_MESSAGES),
				testCase("attempt with a result above the maximum length fails", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.emitChunk(0, "x".repeat(21));
				}, 1, List.of("Failed 1"), NO_MESSAGES),
				testCase("chunk refused by the link fails the attempt at once", (f) -> {
					f.executeIdempotent(f.firstLink, 1);
					f.emitChunk(0, "a");
					f.firstLink.refusesChunks = true;
					f.emitChunk(0, "b");
					assertThat(f.isCancelledAtBackEnd(0)).isTrue();
				}, 1, List.of("Chunk 1 0 a", "Failed 1"), NO_MESSAGES),
				testCase("chunk refused by one link does not affect the other gateway", (f) -> {
					f.executeIdempotent(f.firstLink, 1);
					f.executeIdempotent(f.secondLink, 1);
					f.firstLink.refusesChunks = true;
					f.finish(0, "a");
				}, 1, List.of("Failed 1"), List.of("Chunk 1 0 a", "Completed 1")));
	}

	static Stream<Arguments> revocations() {
		return Stream.of(testCase("attempt revoked before arrival is rejected", (f) -> {
			f.revoke(f.secondLink, 1);
			f.executeNonIdempotent(f.firstLink, 1);
		}, 0, List.of("Rejected 1 REVOKED"), List.of("RevokeResult 1 NEVER_STARTED")),
				testCase("attempt that arrives after its revocation expired is stale", (f) -> {
					f.revoke(f.secondLink, 1);
					f.advance(30_001);
					f.execute(f.firstLink, 1, false, AgentFixture.INCARNATION, 0, 100);
				}, 0, List.of("Rejected 1 STALE"), List.of("RevokeResult 1 NEVER_STARTED")),
				testCase("revoked waiting attempt never starts", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.executeNonIdempotent(f.firstLink, 2);
					f.revoke(f.secondLink, 2);
					f.finish(0, "a");
				}, 1, List.of("Rejected 2 REVOKED", "Completed 1 a"), List.of("RevokeResult 2 NEVER_STARTED")),
				testCase("revocation of a running attempt delivers its result later", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.revoke(f.secondLink, 1);
					f.finish(0, "a");
				}, 1, List.of("Completed 1 a"), List.of("RevokeResult 1 RUNNING", "Completed 1 a")),
				testCase("revocation of a completed attempt returns its result", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.finish(0, "a");
					f.revoke(f.secondLink, 1);
				}, 1, List.of("Completed 1 a"), List.of("RevokeResult 1 COMPLETED a")),
				testCase("revocation of a failed attempt reports the failure", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.fail(0, true);
					f.revoke(f.secondLink, 1);
				}, 1, List.of("Failed 1"), List.of("RevokeResult 1 FAILED")),
				testCase("revocation for another incarnation reports an unknown incarnation",
						(f) -> f.revoke(f.secondLink, 1, OTHER_INCARNATION, 0), 0, NO_MESSAGES,
						List.of("RevokeResult 1 UNKNOWN_INCARNATION")),
				testCase("revocation after the retention time reports an expired attempt", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.finish(0, "a");
					f.advance(600_001);
					f.revoke(f.secondLink, 1, AgentFixture.INCARNATION, 0);
				}, 1, List.of("Completed 1 a"), List.of("RevokeResult 1 EXPIRED")),
				testCase("attempt revoked while the ledger is full never starts", (f) -> {
					for (int number = 1; number <= 4; number++) {
						f.revoke(f.secondLink, number);
					}
					f.advance(20_000);
					f.revoke(f.secondLink, 5);
					f.advance(10_001);
					f.execute(f.firstLink, 5, false, AgentFixture.INCARNATION, 20_000, 100);
					f.executeNonIdempotent(f.firstLink, 6);
				}, 1, List.of("Rejected 5 STALE"),
						Stream.of(1, 2, 3, 4, 5).map((n) -> "RevokeResult " + n + " NEVER_STARTED").toList()),
				testCase("full ledger rejects only non-idempotent attempts until entries expire", (f) -> {
					for (int number = 1; number <= 4; number++) {
						f.revoke(f.secondLink, number);
					}
					f.executeNonIdempotent(f.firstLink, 5);
					f.executeIdempotent(f.firstLink, 6);
					f.finish(0, "a");
					f.advance(30_001);
					f.executeNonIdempotent(f.firstLink, 7);
				}, 2, List.of("Rejected 5 QUEUE_FULL", "Chunk 6 0 a", "Completed 6"),
						Stream.of(1, 2, 3, 4).map((n) -> "RevokeResult " + n + " NEVER_STARTED").toList()));
	}

	static Stream<Arguments> connections() {
		return Stream.of(testCase("cancelled idempotent attempt stops and frees its slot", (f) -> {
			f.executeIdempotent(f.firstLink, 1);
			f.executeNonIdempotent(f.firstLink, 2);
			f.cancel(f.firstLink, 1);
			assertThat(f.isCancelledAtBackEnd(0)).isTrue();
		}, 2, NO_MESSAGES, NO_MESSAGES),
				testCase("cancelled non-idempotent attempt finishes and its result is kept", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.cancel(f.firstLink, 1);
					f.finish(0, "a");
					f.revoke(f.secondLink, 1);
				}, 1, NO_MESSAGES, List.of("RevokeResult 1 COMPLETED a")),
				testCase("cancelled waiting attempt never starts", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.executeNonIdempotent(f.firstLink, 2);
					f.cancel(f.firstLink, 2);
					f.finish(0, "a");
					f.revoke(f.secondLink, 2);
				}, 1, List.of("Completed 1 a"), List.of("RevokeResult 2 NEVER_STARTED")),
				testCase("disconnect stops an idempotent attempt", (f) -> {
					f.executeIdempotent(f.firstLink, 1);
					f.agent.removeConnection(f.firstLink);
					assertThat(f.isCancelledAtBackEnd(0)).isTrue();
				}, 1, NO_MESSAGES, NO_MESSAGES),
				testCase("disconnect does not stop an attempt that another gateway listens to", (f) -> {
					f.executeIdempotent(f.firstLink, 1);
					f.executeIdempotent(f.secondLink, 1);
					f.agent.removeConnection(f.firstLink);
					f.finish(0, "a");
				}, 1, NO_MESSAGES, List.of("Chunk 1 0 a", "Completed 1")),
				testCase("disconnect does not stop a running non-idempotent attempt", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.agent.removeConnection(f.firstLink);
					f.finish(0, "a");
					f.revoke(f.secondLink, 1);
				}, 1, NO_MESSAGES, List.of("RevokeResult 1 COMPLETED a")),
				testCase("disconnect keeps a waiting non-idempotent attempt from starting", (f) -> {
					f.executeNonIdempotent(f.secondLink, 1);
					f.executeNonIdempotent(f.firstLink, 2);
					f.agent.removeConnection(f.firstLink);
					f.finish(0, "a");
					f.revoke(f.secondLink, 2);
				}, 1, NO_MESSAGES, List.of("Completed 1 a", "RevokeResult 2 NEVER_STARTED")));
	}

	static Stream<Arguments> deadlines() {
		return Stream.of(
				testCase("attempt without budget is rejected",
						(f) -> f.execute(f.firstLink, 1, true, AgentFixture.INCARNATION, 0, 0), 0,
						List.of("Rejected 1 DEADLINE_EXCEEDED"), NO_MESSAGES),
				testCase("waiting attempt is rejected at the end of its budget", (f) -> {
					f.executeNonIdempotent(f.secondLink, 1);
					f.execute(f.firstLink, 2, false, AgentFixture.INCARNATION, 0, 100);
					f.advance(100);
					f.finish(0, "a");
				}, 1, List.of("Rejected 2 DEADLINE_EXCEEDED"), List.of("Completed 1 a")),
				testCase("running idempotent attempt fails at the end of its budget", (f) -> {
					f.executeIdempotent(f.firstLink, 1);
					f.advance(AgentFixture.BUDGET_MS);
					assertThat(f.isCancelledAtBackEnd(0)).isTrue();
				}, 1, List.of("Failed 1"), NO_MESSAGES),
				testCase("non-idempotent attempt runs on after the end of its budget", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.advance(AgentFixture.BUDGET_MS + 59_999);
					f.finish(0, "a");
				}, 1, List.of("Completed 1 a"), NO_MESSAGES),
				testCase("non-idempotent attempt fails 60 s after the end of its budget", (f) -> {
					f.executeNonIdempotent(f.firstLink, 1);
					f.advance(AgentFixture.BUDGET_MS + 60_000);
				}, 1, List.of("Failed 1"), NO_MESSAGES));
	}

	static Stream<Arguments> drains() {
		return Stream.of(testCase("drain rejects waiting and new attempts and lets running ones finish", (f) -> {
			f.executeNonIdempotent(f.firstLink, 1);
			f.executeNonIdempotent(f.firstLink, 2);
			f.agent.drain();
			f.executeIdempotent(f.secondLink, 3);
			f.finish(0, "a");
		}, 1, List.of("Draining", "Rejected 2 DRAINING", "Completed 1 a"), List.of("Draining", "Rejected 3 DRAINING")),
				testCase("revocation gets a response while draining", (f) -> {
					f.agent.drain();
					f.revoke(f.secondLink, 1);
				}, 0, List.of("Draining"), List.of("Draining", "RevokeResult 1 NEVER_STARTED")));
	}

	/**
	 * Guards against a graceful shutdown that closes the connections before the last
	 * result was sent.
	 */
	@Test
	void completesDrainAfterSendingLastResult() {
		AgentFixture fixture = new AgentFixture();
		fixture.executeNonIdempotent(fixture.firstLink, 1);
		List<String> sentBeforeCompletion = new ArrayList<>();
		fixture.agent.drain().subscribe(() -> sentBeforeCompletion.addAll(fixture.firstLink.receivedMessages));
		fixture.acknowledgeDrain(fixture.firstLink);
		fixture.acknowledgeDrain(fixture.secondLink);
		fixture.finish(0, "a");
		assertThat(sentBeforeCompletion).contains("Completed 1 a");
	}

	/**
	 * Guards against non-idempotent attempts with an unknown outcome after a graceful
	 * shutdown: an attempt in transit at the start of the drain reached a closed
	 * connection.
	 */
	@Test
	void rejectsAttemptsSentBeforeDrainAcknowledgement() {
		AgentFixture fixture = new AgentFixture();
		TestObserver<Void> drained = fixture.agent.drain().test();
		fixture.acknowledgeDrain(fixture.secondLink);
		drained.assertNotComplete();
		fixture.executeNonIdempotent(fixture.firstLink, 1);
		fixture.acknowledgeDrain(fixture.firstLink);
		drained.assertComplete();
		assertThat(fixture.firstLink.receivedMessages).containsExactly("Draining", "Rejected 1 DRAINING");
	}

	/**
	 * Guards against a shutdown that waits for a disconnected or unresponsive gateway.
	 */
	@Test
	void completesDrainWithoutUnresponsiveGateways() {
		AgentFixture fixture = new AgentFixture();
		TestObserver<Void> drained = fixture.agent.drain().test();
		fixture.agent.removeConnection(fixture.firstLink);
		drained.assertNotComplete();
		fixture.advance(2_000);
		drained.assertComplete();
	}

}
