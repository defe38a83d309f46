package org.magnoliahub.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.junit.jupiter.api.Test;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.protocol.ControlAction;
import org.magnoliahub.protocol.ControlStatus;
import org.magnoliahub.protocol.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against control commands of a former lease holder: a process that was paused
 * while another one took over its lease.
 */
class ControlHandlerTests {

	private static final long INCARNATION = 7;

	private final List<Long> executedFencingNumbers = new ArrayList<>();

	private final List<ControlStatus> statuses = new ArrayList<>();

	private final ControlHandler handler = ControlHandler.of(INCARNATION, new FakeEngine(), new SimpleMeterRegistry());

	@Test
	void refusesCommandOfFormerLeaseHolder() {
		send("placement", 1, INCARNATION);
		send("placement", 2, INCARNATION);
		send("placement", 1, INCARNATION);
		assertThat(this.executedFencingNumbers).containsExactly(1L, 2L);
		assertThat(this.statuses).containsExactly(ControlStatus.DONE, ControlStatus.DONE, ControlStatus.STALE);
	}

	@Test
	void tracksFencingNumbersPerDuty() {
		send("placement", 5, INCARNATION);
		send("roles", 1, INCARNATION);
		assertThat(this.executedFencingNumbers).containsExactly(5L, 1L);
	}

	@Test
	void refusesCommandForEarlierIncarnation() {
		send("placement", 9, INCARNATION - 1);
		assertThat(this.executedFencingNumbers).isEmpty();
		assertThat(this.statuses).containsExactly(ControlStatus.WRONG_INCARNATION);
	}

	private void send(String duty, long fencingNumber, long incarnation) {
		this.handler.receive((message) -> this.statuses.add(((Message.ControlResult) message).status()),
				new Message.Control("c", incarnation, duty, fencingNumber, ControlAction.LOAD_MODEL, "small"));
	}

	/**
	 * An engine that ignores fencing numbers.
	 */
	private final class FakeEngine implements EndpointClient {

		@Override
		public Flowable<EndpointEvent> call(StageCall call, Duration budget, int priority) {
			return Flowable.empty();
		}

		@Override
		public Single<Message.LoadReport> load() {
			return Single.just(new Message.LoadReport(0, 0, 0));
		}

		@Override
		public Completable control(ControlAction action, String argument, long fencingNumber) {
			return Completable.fromAction(() -> ControlHandlerTests.this.executedFencingNumbers.add(fencingNumber));
		}

	}

}
