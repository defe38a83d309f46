package org.magnoliahub.simulation;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.magnoliahub.model.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost, doubled and foreign answers under single faults.
 */
class CoreFaultTests {

	private static final Duration LONG = Duration.ofSeconds(90);

	private final SimulatedSystem system = new SimulatedSystem(1, 2);

	@Test
	void requestPassesAllStages() {
		SimulatedCall call = this.system.submit(0, SimulatedSystem.DRAFT, "k1", "hello");
		this.system.advance(Duration.ofSeconds(5));
		assertThat(call.outcome()).containsInstanceOf(Outcome.Complete.class);
		assertThat(this.system.runs()).hasSize(3);
		assertThat(call.parts()).isEqualTo("<generate|\"hello\">");
		assertSound();
	}

	@Test
	void nonIdempotentRequestCompletesAndRepeatGetsTheSameAnswer() {
		SimulatedCall first = this.system.submit(0, SimulatedSystem.FILE, "k1", "a");
		SimulatedCall second = this.system.submit(1, SimulatedSystem.FILE, "k1", "a");
		this.system.advance(Duration.ofSeconds(5));
		SimulatedCall third = this.system.submit(1, SimulatedSystem.FILE, "k1", "a");
		this.system.advance(LONG);
		assertThat(first.outcome()).containsInstanceOf(Outcome.Complete.class);
		assertThat(second.outcome()).isEqualTo(first.outcome());
		assertThat(third.outcome()).isEqualTo(first.outcome());
		assertSound();
	}

	@Test
	void resubmissionAfterGatewayDiedGetsTheAnswer() {
		this.system.submit(0, SimulatedSystem.FILE, "k1", "a");
		this.system.run(() -> this.system.gateways().get(0).kill(), Duration.ofMillis(20));
		this.system.advance(Duration.ofMillis(50));
		SimulatedCall second = this.system.submit(1, SimulatedSystem.FILE, "k1", "a");
		this.system.advance(LONG);
		assertThat(second.outcome()).containsInstanceOf(Outcome.Complete.class);
		assertSound();
	}

	@Test
	void agentRestartInMidCallLeavesOutcomeUnknown() {
		SimulatedCall call = this.system.submit(0, SimulatedSystem.FILE, "k1", "a");
		this.system.run(() -> this.system.agentsOf("filing").forEach(SimulatedAgent::restart), Duration.ofMillis(20));
		this.system.advance(LONG);
		assertThat(call.outcome()).containsInstanceOf(Outcome.Unknown.class);
		assertSound();
	}

	@Test
	void idempotentStageIsRetriedAfterAgentRestart() {
		SimulatedCall call = this.system.submit(0, SimulatedSystem.DRAFT, "k1", "a");
		this.system.run(() -> this.system.agentsOf("encoder").forEach(SimulatedAgent::restart), Duration.ofMillis(10));
		this.system.advance(LONG);
		assertThat(call.outcome()).containsInstanceOf(Outcome.Complete.class);
		assertSound();
	}

	@Test
	void nonIdempotentRequestIsRefusedWhileTheStoreIsDown() {
		this.system.storeFaults().setUnavailable(true);
		SimulatedCall order = this.system.submit(0, SimulatedSystem.FILE, "k1", "a");
		SimulatedCall draft = this.system.submit(0, SimulatedSystem.DRAFT, "k2", "a");
		this.system.advance(LONG);
		assertThat(order.outcome()).containsInstanceOf(Outcome.NotRun.class);
		assertThat(draft.outcome()).containsInstanceOf(Outcome.Complete.class);
		assertSound();
	}

	@Test
	void gatewayFrozenBeforeItsClaimIsTakenOverDoesNoHarm() {
		this.system.submit(0, SimulatedSystem.FILE, "k1", "a");
		this.system.run(() -> this.system.gateways().get(0).timer().freeze(), Duration.ofMillis(4));
		this.system.advance(Duration.ofMillis(100));
		SimulatedCall second = this.system.submit(1, SimulatedSystem.FILE, "k1", "a");
		this.system.advance(Duration.ofSeconds(6));
		this.system.gateways().get(0).timer().resume();
		this.system.advance(LONG);
		assertThat(second.outcome()).containsInstanceOf(Outcome.Complete.class);
		assertSound();
	}

	@Test
	void orderAtAnEndpointThatIsGoneForGoodGetsASettledOutcome() {
		this.system.submit(0, SimulatedSystem.FILE, "k1", "a");
		this.system.advance(Duration.ofMillis(20));
		this.system.gateways().get(0).kill();
		String endpoint = this.system.agentsOf("filing")
			.stream()
			.filter((agent) -> !agent.backEnd().runs().isEmpty())
			.findFirst()
			.orElseThrow()
			.endpoint()
			.name();
		this.system.gateways().get(1).links().forEach((link) -> {
			if (link.endpoint().name().equals(endpoint)) {
				link.block();
			}
		});
		SimulatedCall whileDeclared = this.system.submit(1, SimulatedSystem.FILE, "k1", "a");
		this.system.advance(Duration.ofSeconds(10));
		this.system.removeEndpoint(endpoint);
		SimulatedCall afterRemoval = this.system.submit(1, SimulatedSystem.FILE, "k1", "a");
		this.system.advance(Duration.ofSeconds(4));
		assertThat(whileDeclared.outcome()).containsInstanceOf(Outcome.Unknown.class);
		assertThat(afterRemoval.outcome()).containsInstanceOf(Outcome.Unknown.class);
		assertThat(((Outcome.Unknown) afterRemoval.outcome().orElseThrow()).detail()).contains("no longer declared");
		assertSound();
	}

	private void assertSound() {
		assertThat(InvariantChecker.violations(this.system)).isEmpty();
	}

}
