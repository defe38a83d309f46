package org.magnoliahub.soak;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedRequest;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EmulatedWork;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.EndpointRun;
import org.magnoliahub.soak.Finding.Promise;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against checks of the soak that find nothing, and against findings where nothing
 * was broken.
 */
class PromiseChecksTests {

	private static final EmulatedSettings.Budget BUDGET = new EmulatedSettings.Budget(0.1, 12);

	private static final PlannedWork NO_WORK = new PlannedWork(List.of(), List.of());

	private static final String BODY = "body";

	private final Ledger ledger = new Ledger();

	private final long start = Ledger.now();

	@ParameterizedTest(name = "{0}")
	@MethodSource
	void brokenPromiseIsFound(Promise promise, Consumer<PromiseChecksTests> steps) {
		steps.accept(this);
		assertThat(check()).extracting(Finding::promise).containsOnly(promise);
	}

	static Stream<Arguments> brokenPromiseIsFound() {
		return Stream.of(broken(Promise.AT_MOST_ONCE, (t) -> {
			RequestStory story = t.send(RequestKind.ORDER);
			t.run(story, "a");
			t.answer(story, 200, t.run(story, "b"), BODY, true);
		}), broken(Promise.TRUTHFUL_REFUSAL, (t) -> {
			RequestStory story = t.send(RequestKind.ORDER);
			t.run(story, "a");
			t.answer(story, 503, "", "", true);
		}), broken(Promise.OWN_ANSWER, (t) -> {
			RequestStory story = t.send(RequestKind.LOOK);
			t.answer(story, 200, t.run(story, "a"), "another body", true);
		}), broken(Promise.OWN_ANSWER, (t) -> t.answer(t.send(RequestKind.LOOK), 200, "forged", BODY, true)),
				broken(Promise.STREAM_ORDER, (t) -> {
					RequestStory story = t.send(RequestKind.DRAFT);
					t.answer(story, 200, t.run(story, "a"), EmulatedWork.event(story.request().id(), 1), true);
				}), broken(Promise.STREAM_ORDER, (t) -> {
					RequestStory story = t.send(RequestKind.DRAFT);
					t.answer(story, 200, t.run(story, "a"), EmulatedWork.event(story.request().id(), 2), false);
				}), broken(Promise.UNCHANGED_REQUEST, (t) -> {
					RequestStory story = t.send(RequestKind.LOOK);
					story.arrived(new EndpointRequest("e", story.request().id(), "GET", "/look/other", "",
							EmulatedSettings.WORKSPACE, "", "", List.of()), t.start);
				}), broken(Promise.DRAINING, (t) -> {
					t.ledger.drained("e");
					t.arrive(t.send(RequestKind.LOOK), t.start + 4_000);
				}), broken(Promise.LEAVING, (t) -> {
					t.ledger.told(t.request(t.send(RequestKind.LOOK)), 0);
					RequestStory later = new RequestStory(RequestKind.LOOK,
							new EmulatedRequest("GET", "/look/r9", "r9", ""), 0, t.start + 2_900);
					t.ledger.add(later);
					t.arrive(later, t.start + 2_950);
				}), broken(Promise.PAUSE, (t) -> {
					t.ledger.told(t.request(t.send(RequestKind.LOOK)), 1_800);
					for (int index = 0; index < 3; index++) {
						t.arrive(t.send(RequestKind.LOOK), t.start + 1_000);
					}
				}), broken(Promise.REQUEST_RATE, (t) -> {
					for (int index = 0; index < 20; index++) {
						t.ledger.limitedAt(t.request(t.send(RequestKind.LOOK)), 1, t.start + 100 * index);
					}
				}), broken(Promise.REPEAT_BUDGET, (t) -> {
					for (int index = 0; index < 20; index++) {
						RequestStory story = t.send(RequestKind.LOOK);
						t.arrive(story, t.start);
						t.arrive(story, t.start + 10);
					}
				}), broken(Promise.ATTEMPTS, (t) -> {
					for (int index = 0; index < 4; index++) {
						RequestStory story = t.send(RequestKind.LOOK);
						List.of("a", "b", "c").forEach((run) -> t.run(story, run));
					}
				}), broken(Promise.ANSWER_IN_TIME, (t) -> {
					for (int index = 0; index < 4; index++) {
						t.send(RequestKind.LOOK).answered(new CallerAnswer(504, Map.of(), "", true), t.start + 3_500);
					}
				}),
				broken(Promise.PROPER_REQUEST_ADMITTED, (t) -> t.answer(t.send(RequestKind.LOOK), 401, "", "", true)),
				broken(Promise.CANCELLATION, (t) -> {
					for (int index = 0; index < 40; index++) {
						RequestStory story = t.send(RequestKind.DRAFT);
						t.run(story, "a");
						story.abandonedAt(t.start - 500);
					}
				}));
	}

	private static Arguments broken(Promise promise, Consumer<PromiseChecksTests> steps) {
		return Arguments.of(promise, steps);
	}

	@Test
	void keptPromisesGiveNoFinding() {
		RequestStory look = send(RequestKind.LOOK);
		run(look, "a");
		answer(look, 200, run(look, "b"), BODY, true);
		answer(send(RequestKind.ORDER), 503, "", "", true);
		RequestStory draft = send(RequestKind.DRAFT);
		answer(draft, 200, run(draft, "a"), EmulatedWork.event(draft.request().id(), 1), false);
		assertThat(check()).isEmpty();
	}

	/**
	 * Guards against findings that a fault of the gateway's own machine excuses.
	 */
	@Test
	void disturbanceExcusesLateness() {
		this.ledger.disturbances().beginGateway(0);
		this.ledger.drained("e");
		arrive(send(RequestKind.LOOK), this.start + 4_000);
		assertThat(check()).isEmpty();
	}

	/**
	 * Guards against findings about requests that were on their way, that another gateway
	 * sent, or that a link held up.
	 */
	@Test
	void noticesExcuseWhatTheyMay() {
		this.ledger.told(request(send(RequestKind.LOOK)), 1_800);
		RequestStory other = this.ledger.open(RequestKind.LOOK, 1);
		for (int index = 0; index < 3; index++) {
			arrive(send(RequestKind.LOOK), this.start + 300);
			arrive(other, this.start + 1_000);
		}
		arrive(send(RequestKind.LOOK), this.start + 1_000);
		assertThat(check()).isEmpty();
		Disturbances.Span span = this.ledger.disturbances().beginLink("e");
		for (int index = 0; index < 3; index++) {
			arrive(send(RequestKind.LOOK), this.start + 1_000);
		}
		span.end();
		assertThat(check()).isEmpty();
	}

	@Test
	void noServiceAfterTheLastFaultIsFound() {
		answer(send(RequestKind.LOOK), 503, "", "", true);
		PromiseChecks.Recovery recovery = new PromiseChecks.Recovery(this.start, this.start + 1_000);
		assertThat(PromiseChecks.check(this.ledger, BUDGET, NO_WORK, Set.of(), recovery)).extracting(Finding::promise)
			.containsExactly(Promise.RECOVERY);
	}

	@Test
	void requestCutByAPlannedStopIsFound() {
		RequestStory story = send(RequestKind.ORDER);
		run(story, "a");
		story.answered(new CallerAnswer(0, Map.of(), "", false), this.start + 100);
		PlannedWork.Stop stop = new PlannedWork.Stop(0, this.start - 1, this.start + 1_000);
		assertThat(
				PromiseChecks.check(this.ledger, BUDGET, new PlannedWork(List.of(stop), List.of()), Set.of(), served()))
			.extracting(Finding::promise)
			.containsExactlyInAnyOrder(Promise.PLANNED_STOP, Promise.COMPLETE_ANSWER);
	}

	private List<Finding> check() {
		return PromiseChecks.check(this.ledger, BUDGET, NO_WORK, Set.of(), served());
	}

	// A request in a span of its own, so that the recovery is sound in all other cases.
	private PromiseChecks.Recovery served() {
		RequestStory story = new RequestStory(RequestKind.LOOK, new EmulatedRequest("GET", "/look/r0", "r0", ""), 0,
				this.start + 60_000);
		EndpointRun run = new EndpointRun(request(story), "sound", BODY);
		story.started(run, this.start + 60_001);
		answer(story, 200, "sound", BODY, true);
		this.ledger.add(story);
		return new PromiseChecks.Recovery(this.start + 60_000, this.start + 60_100);
	}

	private RequestStory send(RequestKind kind) {
		return this.ledger.open(kind, 0);
	}

	private EndpointRequest request(RequestStory story) {
		String body = story.request().method().equals("POST") ? EmulatedRequest.BODY : "";
		return new EndpointRequest("e", story.request().id(), story.request().method(), story.request().target(), body,
				EmulatedSettings.WORKSPACE, "", "", List.of());
	}

	private void arrive(RequestStory story, long millis) {
		story.arrived(request(story), millis);
	}

	private String run(RequestStory story, String signature) {
		EndpointRun run = new EndpointRun(request(story), signature, BODY);
		story.started(run, this.start - 550);
		return signature;
	}

	private void answer(RequestStory story, int status, String signature, String body, boolean complete) {
		Map<String, String> headers = Map.of("response-signature", signature, "request-id", story.request().id());
		story.answered(new CallerAnswer(status, headers, body, complete), story.sentMillis() + 20);
	}

}
