package org.magnoliahub.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against doubled runs, false refusals, lost and foreign answers under each pair
 * of single faults at several moments of an order, a draft of three stages, and a report
 * with a non-idempotent second stage.
 */
class FaultPairTests {

	// System properties make the sweep denser outside the build.
	private static final List<Integer> FIRST_MILLIS = numbers("fault.first", "1,4,6,30");

	private static final List<Integer> GAP_MILLIS = numbers("fault.gap", "1,700");

	private static final int SEEDS = Integer.getInteger("fault.seeds", 1);

	private static final Duration FAULTY = Duration.ofSeconds(9);

	private static final Duration LONG = Duration.ofSeconds(75);

	private static List<Integer> numbers(String property, String defaults) {
		return Arrays.stream(System.getProperty(property, defaults).split(",")).map(Integer::valueOf).toList();
	}

	@ParameterizedTest
	@ValueSource(strings = { SimulatedSystem.FILE, SimulatedSystem.DRAFT, SimulatedSystem.REPORT })
	void invariantsHoldUnderEachPairOfFaults(String requestClass) {
		List<Schedule> schedules = schedules(requestClass);
		List<String> failures = schedules.parallelStream().flatMap((schedule) -> schedule.run().stream()).toList();
		System.out.println(requestClass + ": " + schedules.size() + " schedules");
		assertThat(failures).isEmpty();
	}

	private static List<Schedule> schedules(String requestClass) {
		List<Schedule> schedules = new ArrayList<>();
		for (SimulatedFault first : SimulatedFault.values()) {
			for (SimulatedFault second : SimulatedFault.values()) {
				FIRST_MILLIS.forEach((millis) -> GAP_MILLIS.forEach((gap) -> IntStream.range(0, SEEDS)
					.forEach((seed) -> schedules.add(new Schedule(requestClass, first, millis, second, gap, seed)))));
			}
		}
		return schedules;
	}

	/**
	 * Guards against requests that fail although a retry, a repetition of the question or
	 * the other gateway's copy of the result would do.
	 */
	@ParameterizedTest
	@CsvSource({
			"draft, ANSWERS_DUPLICATED CONNECTION_CUT CONNECTION_BLOCKED AGENT_RESTARTED AGENT_DRAINS "
					+ "AGENT_STOPPED BACK_END_REFUSES STORE_DOWN STORE_SLOW STORE_LOSES_ANSWERS",
			"file, ANSWERS_DUPLICATED CONNECTION_CUT CONNECTION_BLOCKED STALLED_TO_AGENT STALLED_TO_GATEWAY "
					+ "AGENT_FROZEN GATEWAY_FROZEN AGENT_DRAINS AGENT_STOPPED REPEATED_ELSEWHERE REPEATED_HERE" })
	void requestSurvivesASingleFault(String requestClass, String faults) {
		for (String fault : faults.split(" ")) {
			for (int seed = 0; seed < 40; seed++) {
				SimulatedSystem system = new SimulatedSystem(seed, 2);
				SimulatedCall call = system.submit(0, requestClass, "key", SimulatedSystem.inputOf("key"));
				system.advance(Duration.ofMillis(9));
				SimulatedFault.valueOf(fault).strike(system, call);
				system.advance(LONG);
				assertThat(call.outcome().orElse(null)).as("%s, seed %d", fault, seed)
					.isInstanceOf(Outcome.Complete.class);
			}
		}
	}

	/**
	 * Guards against requests that a planned stop interrupts: all that were in flight get
	 * their answer, and a stopped gateway refuses only what arrives later.
	 */
	@ParameterizedTest
	@EnumSource(names = { "GATEWAY_STOPPED", "AGENT_STOPPED", "AGENT_DRAINS" })
	void plannedStopUnderLoadInterruptsNothing(SimulatedFault stop) {
		for (int seed = 0; seed < 40; seed++) {
			SimulatedSystem system = new SimulatedSystem(seed, 2);
			for (int i = 0; i < 40; i++) {
				String requestClass = (i % 3 == 0) ? SimulatedSystem.DRAFT : SimulatedSystem.FILE;
				SimulatedCall call = system.submit(i % 2, requestClass, "key" + i, SimulatedSystem.inputOf("key" + i));
				if (i == 20) {
					stop.strike(system, call);
				}
				system.advance(Duration.ofMillis(10));
			}
			system.advance(LONG);
			assertThat(InvariantChecker.violations(system)).isEmpty();
			assertThat(system.calls()).as("seed %d", seed)
				.allMatch((call) -> call.outcome().orElse(null) instanceof Outcome.Complete
						|| isRefusedByStoppedGateway(system, call));
			assertThat(system.calls().subList(0, 21)).as("seed %d", seed)
				.allMatch((call) -> call.outcome().orElse(null) instanceof Outcome.Complete);
		}
	}

	private static boolean isRefusedByStoppedGateway(SimulatedSystem system, SimulatedCall call) {
		return call.gateway() == system.gateways().get(0)
				&& (call.outcome().isEmpty() || call.outcome().get() instanceof Outcome.NotRun refusal
						&& refusal.reason() == RefusalReason.DRAINING);
	}

	/**
	 * Guards against an order whose result is taken away by a repetition at the same
	 * gateway that asks the agent for the same attempt.
	 */
	@Test
	void slowOrderAndItsRepetitionAtTheSameGatewayGetTheAnswer() {
		for (int seed = 0; seed < 40; seed++) {
			SimulatedSystem system = new SimulatedSystem(seed, 2);
			// Calls take up to 4.9 s, so some outlast the 2 s until a takeover.
			system.agentsOf("filing").forEach((agent) -> agent.backEnd().setSlowness(45));
			List<SimulatedCall> calls = Stream.of(1, 2)
				.map((number) -> system.submit(0, SimulatedSystem.FILE, "key", SimulatedSystem.inputOf("key")))
				.toList();
			system.advance(LONG);
			assertThat(InvariantChecker.violations(system)).isEmpty();
			assertThat(system.runs()).hasSize(1);
			assertThat(calls).as("seed %d", seed)
				.allMatch((call) -> call.outcome().orElse(null) instanceof Outcome.Complete);
		}
	}

	/**
	 * Guards against the answer of another request: a request that cannot be sent and
	 * whose key belongs to a request with another input must not get the answer of that.
	 */
	@Test
	void refusedRequestWithAReusedKeyGetsNoForeignAnswer() {
		SimulatedSystem system = new SimulatedSystem(1, 2);
		system.submit(1, SimulatedSystem.FILE, "key", SimulatedSystem.inputOf("key"));
		system.advance(LONG);
		system.agentsOf("filing").forEach((agent) -> system.gateways().get(0).linkTo(agent).block());
		SimulatedCall call = system.submit(0, SimulatedSystem.FILE, "key", SimulatedSystem.inputOf("other"));
		system.advance(LONG);
		assertThat(InvariantChecker.violations(system)).isEmpty();
		assertThat(call.outcome().orElse(null)).isInstanceOf(Outcome.NotRun.class);
	}

	/**
	 * Guards against a false refusal: a gateway that drains looks up whether an earlier
	 * submission ran.
	 */
	@Test
	void drainingGatewayAnswersARepeatedOrderFromItsClaim() {
		SimulatedSystem system = new SimulatedSystem(1, 2);
		SimulatedCall first = system.submit(1, SimulatedSystem.FILE, "key", SimulatedSystem.inputOf("key"));
		system.advance(LONG);
		system.gateways().get(0).coordinator().drain();
		SimulatedCall second = system.submit(0, SimulatedSystem.FILE, "key", SimulatedSystem.inputOf("key"));
		system.advance(LONG);
		assertThat(InvariantChecker.violations(system)).isEmpty();
		assertThat(second.outcome()).isEqualTo(first.outcome());
	}

	/** One order of faults, which can be repeated alone. */
	private record Schedule(String requestClass, SimulatedFault first, int millis, SimulatedFault second, int gap,
			int seed) {

		List<String> run() {
			SimulatedSystem system = new SimulatedSystem(hash(), 2);
			String input = SimulatedSystem.inputOf("key");
			SimulatedCall call = system.submit(0, this.requestClass, "key", input);
			system.advance(Duration.ofMillis(this.millis));
			this.first.strike(system, call);
			system.advance(Duration.ofMillis(this.gap));
			this.second.strike(system, call);
			system.advance(FAULTY);
			SimulatedFault.heal(system);
			system.advance(LONG);
			SimulatedCall last = system.submit(1, this.requestClass, "key", input);
			system.advance(LONG);
			List<String> failures = new ArrayList<>(InvariantChecker.violations(system));
			Outcome outcome = last.outcome().orElse(null);
			boolean isKeyReused = outcome instanceof Outcome.NotRun refusal
					&& refusal.reason() == RefusalReason.IDEMPOTENCY_KEY_REUSED;
			if (outcome == null || outcome instanceof Outcome.NotRun && !isKeyReused) {
				failures.add("the last submission got " + last.outcome());
			}
			return failures.stream().map((failure) -> this + ": " + failure).toList();
		}

		// Enum constants have no stable hash code.
		private long hash() {
			return ((this.first.ordinal() * 31L + this.second.ordinal()) * 10_007 + this.millis * 101L + this.gap) * 997
					+ this.seed;
		}

	}

}
