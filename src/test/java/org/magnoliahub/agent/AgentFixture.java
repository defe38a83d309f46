package org.magnoliahub.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.UnicastProcessor;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageType;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

/**
 * An agent that runs one call at a time and queues one more. Tests control the responses
 * of its back end, and its links record the messages they receive in a short text form.
 */
final class AgentFixture {

	static final long INCARNATION = 7;

	static final long BUDGET_MS = 5_000;

	static final AgentLimits LIMITS = new AgentLimits(1, 1, 4, 1_000, 20, Duration.ofMinutes(10),
			Duration.ofSeconds(30));

	final RecordingLink firstLink = new RecordingLink();

	final RecordingLink secondLink = new RecordingLink();

	final EndpointAgent agent;

	private final TestScheduler scheduler = new TestScheduler();

	private final TimerService timers = SchedulerTimerService.virtual(this.scheduler);

	private final List<UnicastProcessor<EndpointEvent>> backEndCalls = new ArrayList<>();

	AgentFixture() {
		this.agent = EndpointAgent.of(INCARNATION, new FakeBackEnd(), this.timers, LIMITS, new SimpleMeterRegistry());
		this.agent.addConnection(this.firstLink);
		this.agent.addConnection(this.secondLink);
	}

	static AttemptId attempt(int number) {
		return new AttemptId(new RequestId("request"), 0, number);
	}

	void executeIdempotent(RecordingLink link, int number) {
		execute(link, number, true, INCARNATION, now(), BUDGET_MS);
	}

	void executeNonIdempotent(RecordingLink link, int number) {
		execute(link, number, false, INCARNATION, now(), BUDGET_MS);
	}

	void execute(RecordingLink link, int number, boolean idempotent, long targetIncarnation, long agentMillisSeen,
			long budgetMillis) {
		StageType type = idempotent ? StageType.GENERATE : StageType.SERVICE;
		StageCall call = new StageCall("stage", type, "/", "north", "\"input\"", List.of(), Optional.of("key"));
		this.agent.receive(link, new Message.Execute(attempt(number), targetIncarnation, idempotent, agentMillisSeen,
				budgetMillis, 0, call));
	}

	void revoke(RecordingLink link, int number) {
		revoke(link, number, INCARNATION, now());
	}

	void revoke(RecordingLink link, int number, long targetIncarnation, long agentMillisSeen) {
		this.agent.receive(link, new Message.Revoke(attempt(number), targetIncarnation, agentMillisSeen));
	}

	void cancel(RecordingLink link, int number) {
		this.agent.receive(link, new Message.Cancel(attempt(number)));
	}

	void acknowledgeDrain(RecordingLink link) {
		this.agent.receive(link, new Message.Draining(INCARNATION));
	}

	/** Emits a chunk of the result of a back-end call; calls are numbered from 0. */
	void emitChunk(int call, String content) {
		this.backEndCalls.get(call).onNext(new EndpointEvent.Chunk(content));
	}

	void finish(int call, String content) {
		emitChunk(call, content);
		this.backEndCalls.get(call).onNext(new EndpointEvent.Finished(1));
	}

	void fail(int call, boolean effectPossible) {
		this.backEndCalls.get(call).onError(new EndpointException("fault", effectPossible));
	}

	boolean isCancelledAtBackEnd(int call) {
		return !this.backEndCalls.get(call).hasSubscribers();
	}

	int backEndCalls() {
		return this.backEndCalls.size();
	}

	long now() {
		return this.timers.milliTime();
	}

	void advance(long millis) {
		this.scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
	}

	/** Records the messages sent to a gateway and can refuse chunks. */
	static final class RecordingLink implements GatewayLink {

		final List<String> receivedMessages = new ArrayList<>();

		boolean refusesChunks;

		@Override
		public boolean send(Message message) {
			if (message instanceof Message.Chunk && this.refusesChunks) {
				return false;
			}
			this.receivedMessages.add(describe(message));
			return true;
		}

		private static String describe(Message message) {
			String name = message.getClass().getSimpleName();
			if (message instanceof Message.Chunk chunk) {
				return name + " " + chunk.attempt().attempt() + " " + chunk.sequence() + " " + chunk.content();
			}
			if (message instanceof Message.Completed completed) {
				return (name + " " + completed.attempt().attempt() + " " + completed.output().content()).strip();
			}
			if (message instanceof Message.Rejected rejected) {
				return name + " " + rejected.attempt().attempt() + " " + rejected.reason();
			}
			if (message instanceof Message.RevokeResult result) {
				return (name + " " + result.attempt().attempt() + " " + result.state() + " "
						+ result.output().content())
					.strip();
			}
			if (message instanceof Message.AttemptMessage attemptMessage) {
				return name + " " + attemptMessage.attempt().attempt();
			}
			return name;
		}

	}

	private final class FakeBackEnd implements EndpointClient {

		@Override
		public Flowable<EndpointEvent> call(StageCall call, Duration budget, int priority) {
			UnicastProcessor<EndpointEvent> events = UnicastProcessor.create();
			AgentFixture.this.backEndCalls.add(events);
			return events;
		}

		@Override
		public Single<Message.LoadReport> load() {
			return Single.just(new Message.LoadReport(0, 0, 0));
		}

	}

}
