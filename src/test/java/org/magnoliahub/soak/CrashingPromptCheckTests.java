package org.magnoliahub.soak;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.soak.Finding.Promise;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that end endpoints and that the soak misses, and against
 * findings where few were sent or nobody could know of the ends.
 */
class CrashingPromptCheckTests {

	private final Ledger ledger = new Ledger();

	private final long start = Ledger.now();

	private void crash(int ends) {
		for (int end = 0; end < ends; end++) {
			this.ledger.crashedAt(this.start + end * 100L);
		}
	}

	private void arrive(int count, long millis) {
		for (int index = 0; index < count; index++) {
			RequestStory story = this.ledger.openCrashing(0);
			story.arrived(new EndpointRequest("e", story.request().id(), "POST", story.request().target(), "", "", "",
					story.request().prompt(), List.of()), this.start + millis);
		}
	}

	private void answerSound(int count, long millis, int status) {
		for (int index = 0; index < count; index++) {
			RequestStory opened = this.ledger.open(RequestKind.DRAFT, 0);
			RequestStory story = new RequestStory(RequestKind.DRAFT, opened.request(), 0, this.start + millis);
			story.answered(new CallerAnswer(status, Map.of(), "", true), this.start + millis + 50);
			this.ledger.add(story);
		}
	}

	@Test
	void fourRequestsLaterThanTheBoundAreFound() {
		crash(5);
		arrive(4, 3_500);
		assertThat(CrashingPromptCheck.check(this.ledger)).extracting(Finding::promise)
			.containsExactly(Promise.CRASHING_PROMPT);
	}

	@Test
	void threeRequestsOrThoseBeforeTheBoundAreTolerated() {
		crash(5);
		arrive(3, 3_500);
		arrive(20, 3_300);
		assertThat(CrashingPromptCheck.check(this.ledger)).isEmpty();
	}

	@Test
	void fewerThanFiveEndsBlockNothing() {
		crash(4);
		arrive(20, 9_000);
		assertThat(CrashingPromptCheck.check(this.ledger)).isEmpty();
	}

	@Test
	void gatewayOutOfTouchIsExcused() {
		this.ledger.disturbances().beginGateway(0).end();
		crash(5);
		arrive(20, 7_000);
		assertThat(CrashingPromptCheck.check(this.ledger)).isNotEmpty();
		this.ledger.disturbances().beginGateway(0);
		assertThat(CrashingPromptCheck.check(this.ledger)).isEmpty();
	}

	@Test
	void soundRequestsThatAreNotServedAreFound() {
		answerSound(30, -4_000, 200);
		crash(5);
		answerSound(30, 7_000, 200);
		assertThat(CrashingPromptCheck.check(this.ledger)).isEmpty();
		answerSound(40, 8_000, 503);
		assertThat(CrashingPromptCheck.check(this.ledger)).hasSize(1);
	}

}
