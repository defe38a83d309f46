package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests being sent to an endpoint that signalled draining or requested
 * a pause, and against a burst of all waiting requests when the pause ends.
 */
class EndpointNoticeTests {

	private final EndpointDirectory directory = ServingFixtures.directory(ServingFixtures.endpoint("a", "plain", "z1"));

	private final EndpointState endpoint = this.directory.availableEndpoints("plain", 0).get(0);

	private boolean isAvailable(long now) {
		return !this.directory.availableEndpoints("plain", now).isEmpty();
	}

	private static EndpointRecord endpointRecord(long processStart, long sequence) {
		return new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, false, processStart, sequence);
	}

	@Test
	void drainingSignalOverridesAReadyRecord() {
		assertThat(this.endpoint.markDraining()).isTrue();
		assertThat(this.endpoint.markDraining()).isFalse();
		this.directory.update(endpointRecord(1, 5));
		assertThat(isAvailable(100_000)).isFalse();
	}

	@Test
	void relistedProcessRemainsDraining() {
		this.endpoint.markDraining();
		this.directory.recordStoreContact(1_000);
		this.directory.remove("a", 1_000);
		this.directory.update(endpointRecord(1, 6));
		assertThat(isAvailable(2_000)).isFalse();
	}

	@Test
	void newProcessEndsDraining() {
		this.endpoint.markDraining();
		this.directory.update(endpointRecord(2, 1));
		assertThat(isAvailable(0)).isTrue();
	}

	@Test
	void pausedEndpointIsUnavailableUntilThePauseEnds() {
		this.endpoint.requestPause(100, 2_000);
		assertThat(isAvailable(2_099)).isFalse();
		assertThat(this.directory.pausedMillis("plain", 1_100)).isEqualTo(1_000);
		assertThat(isAvailable(2_100)).isTrue();
		assertThat(this.directory.pausedMillis("plain", 2_100)).isZero();
	}

	@Test
	void shorterPauseDoesNotShortenALongerOne() {
		this.endpoint.requestPause(0, 3_000);
		this.endpoint.requestPause(100, 200);
		assertThat(isAvailable(2_999)).isFalse();
	}

	@Test
	void veryLongPauseIsHonored() {
		this.endpoint.requestPause(0, 999_999_999_000L);
		assertThat(isAvailable(86_400_000)).isFalse();
		assertThat(this.endpoint.isPauseRequested(86_400_000)).isTrue();
	}

	@Test
	void newProcessEndsThePause() {
		this.endpoint.requestPause(0, 60_000);
		this.directory.update(endpointRecord(2, 1));
		assertThat(isAvailable(1)).isTrue();
	}

	@Test
	void otherEndpointsOfTheServiceRemainAvailable() {
		this.directory.update(ServingFixtures.endpoint("b", "plain", "z1"));
		this.endpoint.requestPause(0, 2_000);
		assertThat(this.directory.pausedMillis("plain", 100)).isZero();
		assertThat(this.directory.availableEndpoints("plain", 100)).hasSize(1);
	}

	@Test
	void drainingEndpointsDoNotAffectThePauseOfTheService() {
		this.directory.update(ServingFixtures.endpoint("b", "plain", "z1"));
		this.directory.availableEndpoints("plain", 0)
			.stream()
			.filter((state) -> state != this.endpoint)
			.forEach(EndpointState::markDraining);
		this.endpoint.requestPause(0, 2_000);
		assertThat(this.directory.pausedMillis("plain", 500)).isEqualTo(1_500);
	}

	@Test
	void slowStartDoublesCallsInFlight() {
		this.endpoint.requestPause(0, 1_000);
		List<Integer> inFlight = new ArrayList<>();
		long now = 1_000;
		for (int round = 0; round < 4; round++) {
			List<EndpointCall> calls = new ArrayList<>();
			while (isAvailable(now) && calls.size() < 100) {
				calls.add(this.endpoint.beginCall(now, 50, 0));
			}
			inFlight.add(calls.size());
			now += 50;
			for (EndpointCall call : calls) {
				call.recordFirstResponse(now);
				call.end();
			}
		}
		assertThat(inFlight).containsExactly(1, 2, 8, 100);
	}

	@Test
	void callsFromBeforeThePauseDoNotCountForTheSlowStart() {
		for (int call = 0; call < 10; call++) {
			this.endpoint.beginCall(0, 50, 0);
		}
		this.endpoint.requestPause(0, 1_000);
		assertThat(isAvailable(1_000)).isTrue();
	}

	@Test
	void pauseDuringTheSlowStartRestartsIt() {
		this.endpoint.requestPause(0, 1_000);
		EndpointCall call = this.endpoint.beginCall(1_000, 50, 0);
		this.endpoint.requestPause(1_010, 1_000);
		call.recordRejection(1_010);
		call.end();
		assertThat(isAvailable(2_009)).isFalse();
		this.endpoint.beginCall(2_010, 50, 0);
		assertThat(isAvailable(2_010)).isFalse();
	}

	@Test
	void pausedStageFormsNoBatchAndReportsTheRemainingPause() {
		StageQueue queue = new StageQueue("plain", ServingFixtures.LIMITS, this.directory,
				ServingFixtures.retryBudget());
		queue.add(ServingFixtures.job(1, 3, 5_000, 100), 0);
		this.endpoint.requestPause(0, 2_000);
		assertThat(queue.nextBatch(1_999)).isEmpty();
		assertThat(queue.load(500).pausedMillis()).isEqualTo(1_500);
		assertThat(queue.load(500).waitMillis()).isGreaterThanOrEqualTo(1_500);
		assertThat(queue.nextBatch(2_000)).isPresent();
	}

	@Test
	void piecesThatExpireBeforeThePauseEndsAreRemovedAtOnce() {
		StageQueue queue = new StageQueue("plain", ServingFixtures.LIMITS, this.directory,
				ServingFixtures.retryBudget());
		queue.add(ServingFixtures.job(1, 3, 5_000, 100), 0);
		this.endpoint.requestPause(0, 200_000);
		assertThat(queue.removeExpired(10)).hasSize(3);
	}

}
