package org.magnoliahub.soak;

import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.StageCallFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work in evacuated zones that the soak misses or excuses, and against
 * findings about work that an evacuation allows.
 */
class EvacuationCheckTests {

	private static final long LATE_MILLIS = EvacuationCheck.BOUND_MILLIS + 10;

	private static final String ENDPOINT = "e";

	private final Ledger ledger = new Ledger();

	private final long start = Ledger.now();

	private final Evacuation evacuation = new Evacuation("z1", this.start - 1);

	@BeforeEach
	void evacuate() {
		this.ledger.evacuations().place(ENDPOINT, "z1");
		this.ledger.evacuations().add(this.evacuation);
		this.evacuation.recordWritten(this.start);
	}

	@Test
	void onlyRequestsBetweenTheBoundAndTheRemovalAreFound() {
		this.evacuation.recordRemoval(this.start + 9_000);
		arrive(LATE_MILLIS - 20);
		arrive(9_000);
		assertThat(check()).isEmpty();
		arrive(LATE_MILLIS);
		assertThat(check()).hasSize(1);
	}

	@Test
	void requestThatIsMeantForAnotherEndpointIsNotFound() {
		this.ledger.misdirected(arrive(LATE_MILLIS));
		assertThat(check()).isEmpty();
	}

	@Test
	void endpointOfAnotherZoneIsNotFound() {
		this.ledger.evacuations().place(ENDPOINT, "z2");
		arrive(LATE_MILLIS);
		assertThat(check()).isEmpty();
	}

	@Test
	void gatewayThatWasNeverInTouchIsExcused() {
		this.ledger.disturbances().beginGateway(0);
		arrive(LATE_MILLIS);
		assertThat(check()).isEmpty();
	}

	/**
	 * Guards against excuses for a gateway that had time to read the row and then lost
	 * the store.
	 */
	@Test
	void outageAfterTheBoundExcusesNothing() {
		Evacuation earlier = new Evacuation("z1", this.start - 20_000);
		earlier.recordWritten(this.start - 20_000);
		this.ledger.evacuations().add(earlier);
		this.ledger.disturbances().beginAll();
		arrive(LATE_MILLIS);
		assertThat(check()).hasSize(1);
	}

	@Test
	void boundOfARestartedGatewayCountsFromTheSecondWriteOfALostRow() {
		this.ledger.evacuations().recordStart(0, this.start + 6_000);
		this.evacuation.recordWritten(this.start + 6_000);
		arrive(10_900);
		assertThat(check()).isEmpty();
		arrive(11_100);
		assertThat(check()).hasSize(1);
	}

	@Test
	void restartAloneExcusesNothing() {
		this.ledger.evacuations().recordStart(0, this.start + 6_000);
		arrive(7_000);
		assertThat(check()).hasSize(1);
	}

	@Test
	void piecesAreFoundIfNoGatewayIsExcused() throws Exception {
		this.ledger.open(RequestKind.STAGED, 0);
		this.ledger.evacuations().recordStageCall(ENDPOINT, this.start + LATE_MILLIS);
		RawServer.Handler handler = this.ledger.evacuations().recording(ENDPOINT, (request, socket) -> {
		});
		for (String path : List.of(StageCallFormat.FREE_PATH, StageCallFormat.RUN_PATH)) {
			handler.handle(new RawServer.Request("POST " + path + " HTTP/1.1", Map.of(), ""), new Socket());
		}
		assertThat(this.ledger.evacuations().stageCalls()).hasSize(2);
		assertThat(check()).hasSize(1);
		this.ledger.disturbances().beginGateway(1);
		this.ledger.open(RequestKind.STAGED, 1);
		assertThat(check()).isEmpty();
	}

	@Test
	void requestThatEndsWithoutItsAnswerIsFound() {
		RequestStory story = this.ledger.open(RequestKind.LOOK, 0);
		story.arrived(request(story), this.start + 10);
		story.answered(new CallerAnswer(502, Map.of(), "", true), this.start + 20);
		assertThat(check()).hasSize(1);
		this.ledger.disturbances().beginEndpoint(ENDPOINT).end();
		assertThat(check()).isEmpty();
	}

	private EndpointRequest arrive(long millis) {
		RequestStory story = this.ledger.open(RequestKind.LOOK, 0);
		EndpointRequest request = request(story);
		story.arrived(request, this.start + millis);
		return request;
	}

	private static EndpointRequest request(RequestStory story) {
		return new EndpointRequest(ENDPOINT, story.request().id(), "GET", story.request().target(), "",
				EmulatedSettings.WORKSPACE, "", "", List.of());
	}

	private List<Finding> check() {
		return new EvacuationCheck(this.ledger, new PlannedWork(List.of(), List.of()), Set.of()).check();
	}

}
