package org.magnoliahub.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageOutput;

/**
 * Compares what the back ends ran with what callers were told.
 */
final class InvariantChecker {

	private static final long DRAIN_LIMIT_MS = 3_000;

	// The deadline of 5 s, at most 500 ms to check a claim, and the timers' granularity.
	private static final long ANSWER_LIMIT_MS = 5_600;

	private final SimulatedSystem system;

	private final List<String> violations = new ArrayList<>();

	private InvariantChecker(SimulatedSystem system) {
		this.system = system;
	}

	/**
	 * Lists all violations after a run.
	 * @param system the system, after all deadlines have passed
	 * @return one line for each violation
	 */
	static List<String> violations(SimulatedSystem system) {
		InvariantChecker checker = new InvariantChecker(system);
		checker.checkAtMostOnce();
		checker.checkInputsOfRuns();
		system.agents().forEach(checker::checkDrains);
		system.calls().forEach(checker::checkCall);
		checker.checkSameOutcomeForKey();
		return checker.violations;
	}

	private boolean isNonIdempotent(StageCall call) {
		return call.stage().equals("file");
	}

	private void checkAtMostOnce() {
		Map<String, Long> runsByKey = this.system.runs()
			.stream()
			.map(SimulatedBackEnd.Run::call)
			.filter(this::isNonIdempotent)
			.collect(Collectors.groupingBy((call) -> call.idempotencyKey().orElseThrow(), Collectors.counting()));
		runsByKey.forEach((key, count) -> {
			if (count > 1) {
				this.violations.add("non-idempotent call with key " + key + " ran " + count + " times");
			}
		});
	}

	/**
	 * Each stage must get the results of the earlier stages of its own request.
	 */
	private void checkInputsOfRuns() {
		for (SimulatedBackEnd.Run run : this.system.runs()) {
			for (StageOutput previous : run.call().previous()) {
				String expected = answerOf(previous.stage(), run.call().input());
				if (!previous.content().equals(expected)) {
					this.violations
						.add("stage " + run.call().stage() + " got " + previous.content() + ", expected " + expected);
				}
			}
		}
	}

	private void checkDrains(SimulatedAgent agent) {
		for (SimulatedAgent.Drain drain : agent.drains()) {
			long starts = agent.backEnd()
				.runs()
				.stream()
				.filter((run) -> run.millis() > drain.startMillis() + DRAIN_LIMIT_MS
						&& run.millis() < drain.endMillis())
				.count();
			if (starts > 0) {
				this.violations.add(
						agent.endpoint().name() + " started " + starts + " calls while it drained for longer than 3 s");
			}
		}
	}

	/**
	 * An answer must come at the deadline at the latest. A gateway that was frozen may be
	 * late.
	 */
	private void checkInTime(String name, SimulatedCall call) {
		long millis = call.outcomeMillis() - call.startedMillis();
		if (millis > ANSWER_LIMIT_MS && !call.gateway().timer().wasFrozen()) {
			this.violations.add(name + " was answered after " + millis + " ms");
		}
	}

	private static String answerOf(String stage, String input) {
		return "<" + stage + SimulatedBackEnd.ANSWER_SEPARATOR + input + ">";
	}

	private void checkCall(SimulatedCall call) {
		String name = call.submission().requestClass() + "/" + call.submission().idempotencyKey().orElse("");
		Outcome outcome = call.outcome().orElse(null);
		if (outcome == null) {
			if (call.mustHaveOutcome()) {
				this.violations.add(name + " has no outcome");
			}
			return;
		}
		if (call.terminalEvents() != 1) {
			this.violations.add(name + " got " + call.terminalEvents() + " terminal events");
		}
		checkInTime(name, call);
		if (outcome instanceof Outcome.Complete complete) {
			checkComplete(name, call, complete);
		}
		else if (outcome instanceof Outcome.NotRun notRun) {
			checkNotRun(name, call, notRun);
		}
		else if (outcome instanceof Outcome.Unknown && call.submission().pipeline().equals(SimulatedSystem.DRAFT)) {
			this.violations.add(name + " has no non-idempotent stage, but was told that its outcome is unknown");
		}
		else if (outcome instanceof Outcome.Failed failed) {
			Set<String> ran = stagesRunFor(call.id().orElseThrow());
			if (!new HashSet<>(failed.stagesRun()).containsAll(ran)) {
				this.violations.add(name + " was told that " + failed.stagesRun() + " ran, but " + ran + " ran");
			}
		}
	}

	private void checkNotRun(String name, SimulatedCall call, Outcome.NotRun notRun) {
		Set<String> ran = stagesRunFor(call.id().orElseThrow());
		if (!ran.isEmpty()) {
			this.violations.add(name + " was told not_run, but ran " + ran);
		}
		// Without the store, a gateway cannot know of earlier submissions, and says so.
		if (notRun.reason() == RefusalReason.STORE_UNAVAILABLE) {
			return;
		}
		boolean ranBefore = this.system.runs()
			.stream()
			.filter((run) -> isNonIdempotent(run.call()) && run.millis() < call.outcomeMillis())
			.anyMatch((run) -> run.call().idempotencyKey().equals(call.submission().idempotencyKey())
					&& run.call().input().equals(call.submission().input()));
		if (ranBefore) {
			this.violations.add(name + " was told not_run, but an earlier submission ran");
		}
	}

	private void checkComplete(String name, SimulatedCall call, Outcome.Complete complete) {
		PipelineDefinition pipeline = this.system.inForce().pipelines().get(call.submission().pipeline());
		if (pipeline == null) {
			throw new IllegalStateException("unknown pipeline of " + name);
		}
		StageDefinition last = pipeline.stages().get(pipeline.stages().size() - 1);
		String expected = answerOf(last.name(), call.submission().input());
		if (!complete.answer().equals(expected)) {
			this.violations.add(name + " was answered " + complete.answer() + ", expected " + expected);
		}
		for (StageDefinition stage : pipeline.stages()) {
			boolean ran = this.system.runs()
				.stream()
				.anyMatch((run) -> run.call().stage().equals(stage.name())
						&& run.call().idempotencyKey().equals(call.submission().idempotencyKey()));
			if (!ran) {
				this.violations.add(name + " was answered, but its stage " + stage.name() + " did not run");
			}
		}
		if (!call.parts().isEmpty() && !call.parts().equals(complete.answer())) {
			this.violations.add(name + " streamed " + call.parts() + ", but was answered " + complete.answer());
		}
	}

	private Set<String> stagesRunFor(RequestId id) {
		return this.system.runs()
			.stream()
			.map(SimulatedBackEnd.Run::call)
			.filter((call) -> call.attempt().orElseThrow().request().equals(id))
			.map(StageCall::stage)
			.collect(Collectors.toSet());
	}

	/**
	 * Once a caller was told that a request is complete, no other caller with the same
	 * key may be told that it did not run.
	 */
	private void checkSameOutcomeForKey() {
		Map<String, List<SimulatedCall>> byKey = new HashMap<>();
		this.system.calls()
			.stream()
			.filter((call) -> !call.submission().requestClass().equals(SimulatedSystem.DRAFT))
			.forEach((call) -> byKey
				.computeIfAbsent(call.submission().idempotencyKey().orElse(""), (key) -> new ArrayList<>())
				.add(call));
		byKey.forEach((key, calls) -> {
			Set<String> answers = calls.stream()
				.flatMap((call) -> call.outcome().stream())
				.filter(Outcome.Complete.class::isInstance)
				.map((outcome) -> ((Outcome.Complete) outcome).answer())
				.collect(Collectors.toSet());
			if (answers.size() > 1) {
				this.violations.add("key " + key + " got different answers " + answers);
			}
		});
	}

}
