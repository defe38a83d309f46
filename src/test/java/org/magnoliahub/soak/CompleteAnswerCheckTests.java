package org.magnoliahub.soak;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.EndpointRun;
import org.magnoliahub.soak.Finding.Promise;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that end without an answer and that the soak misses, and
 * against findings about requests that nobody lost.
 */
class CompleteAnswerCheckTests {

	private static final PlannedWork NO_WORK = new PlannedWork(List.of(), List.of());

	private final Ledger ledger = new Ledger();

	private final long start = Ledger.now();

	@Test
	void fourRequestsClosedWithoutAnAnswerAreFoundAtAnyTime() {
		closePassedOn(4);
		assertThat(check(NO_WORK)).hasSize(4);
	}

	@Test
	void threeRequestsClosedWithoutAnAnswerAreTolerated() {
		closePassedOn(3);
		assertThat(check(NO_WORK)).isEmpty();
	}

	@Test
	void requestsThatWereNotPassedOnMayCrossAClose() {
		for (int index = 0; index < 4; index++) {
			close(send(), 300);
		}
		assertThat(check(NO_WORK)).isEmpty();
	}

	@Test
	void gatewayOutOfTouchMayCloseConnections() {
		this.ledger.disturbances().beginGateway(0).end();
		closePassedOn(4);
		assertThat(check(NO_WORK)).isEmpty();
	}

	@Test
	void endpointThatIsDisturbedMayCutAnswers() {
		this.ledger.disturbances().beginEndpoint("e").end();
		closePassedOn(4);
		assertThat(check(NO_WORK)).isEmpty();
	}

	@Test
	void otherEndpointsExcuseNothing() {
		this.ledger.disturbances().beginEndpoint("other").end();
		closePassedOn(4);
		assertThat(check(NO_WORK)).hasSize(4);
	}

	@Test
	void requestThatWasPassedOnAndCutByAStopIsFound() {
		closePassedOn(1);
		assertThat(check(stop(0, 0))).hasSize(1);
		assertThat(check(stop(1, 0))).isEmpty();
	}

	@Test
	void requestThatWasReadAndCutLateByAStopIsFound() {
		RequestStory story = send();
		close(story, 300);
		assertThat(check(stop(0, 0))).isEmpty();
		assertThat(check(stop(0, 0), story.request().id())).hasSize(1);
	}

	@Test
	void requestThatWasReadMayBeCutAtOnce() {
		RequestStory story = send();
		close(story, 100);
		assertThat(check(stop(0, 0), story.request().id())).isEmpty();
	}

	@Test
	void requestAtWorkInTheLastSixthOfTheGraceMayBeCut() {
		RequestStory story = passOn(RequestKind.DRAFT);
		story.ended(new EndpointRun(request(story), "s", ""), this.start + 4_000);
		close(story, 4_000);
		assertThat(check(stop(0, -2_900))).isEmpty();
		assertThat(check(stop(0, -2_000))).hasSize(1);
	}

	@Test
	void requestCutByAReloadIsFound() {
		closePassedOn(1);
		assertThat(check(reload(100))).hasSize(1);
		assertThat(check(reload(-2_100))).isEmpty();
		assertThat(check(reload(400))).isEmpty();
	}

	@Test
	void requestCutBehindAChangeOfTheConfigurationIsFound() {
		closePassedOn(1);
		change(-3_500);
		assertThat(check(NO_WORK)).isEmpty();
		change(-1_000);
		assertThat(check(NO_WORK)).hasSize(1);
	}

	@Test
	void requestThatHasUsedMostOfItsTimeDoesNotCountBesideAChange() {
		change(0);
		RequestStory story = passOn(RequestKind.LOOK);
		close(story, 1_200);
		assertThat(check(NO_WORK)).isEmpty();
	}

	@Test
	void requestThatReachedItsTimeoutMayBeCut() {
		RequestStory story = passOn(RequestKind.LOOK);
		close(story, 1_600);
		assertThat(check(stop(0, 0))).isEmpty();
	}

	@Test
	void disturbanceShortlyBeforeExcusesPlannedWork() {
		this.ledger.disturbances().beginEndpoint("other").end();
		closePassedOn(1);
		assertThat(check(stop(0, 0))).isEmpty();
	}

	@Test
	void plannedEndOfAnotherEndpointExcusesNothing() {
		this.ledger.disturbances().beginPlannedEnd("other").end();
		closePassedOn(1);
		assertThat(check(stop(0, 0))).hasSize(1);
	}

	private List<Finding> check(PlannedWork work, String... read) {
		List<Finding> findings = new CompleteAnswerCheck(this.ledger, work, Set.of(read)).check();
		assertThat(findings).allMatch((finding) -> finding.promise() == Promise.COMPLETE_ANSWER);
		return findings;
	}

	private PlannedWork stop(int gateway, long millis) {
		return new PlannedWork(List.of(new PlannedWork.Stop(gateway, this.start + millis, this.start + millis + 8_000)),
				List.of());
	}

	private PlannedWork reload(long millis) {
		return new PlannedWork(List.of(), List.of(new PlannedWork.Reload(0, this.start + millis)));
	}

	private void change(long millis) {
		ConfigurationVersions versions = this.ledger.configurations().versions();
		versions.accepted(versions.begin(this.start + millis), this.start + millis);
	}

	private RequestStory send() {
		RequestStory story = this.ledger.open(RequestKind.LOOK, 0);
		story.writtenAt(this.start);
		return story;
	}

	private void closePassedOn(int count) {
		for (int index = 0; index < count; index++) {
			close(passOn(RequestKind.LOOK), 300);
		}
	}

	private RequestStory passOn(RequestKind kind) {
		RequestStory story = this.ledger.open(kind, 0);
		story.arrived(request(story), this.start + 10);
		story.started(new EndpointRun(request(story), "s", ""), this.start + 10);
		return story;
	}

	private EndpointRequest request(RequestStory story) {
		return new EndpointRequest("e", story.request().id(), story.request().method(), story.request().target(), "",
				EmulatedSettings.WORKSPACE, "", "", List.of());
	}

	private void close(RequestStory story, long afterMillis) {
		story.answered(new CallerAnswer(0, Map.of(), "", false), this.start + afterMillis);
	}

}
