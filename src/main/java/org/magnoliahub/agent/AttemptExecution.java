package org.magnoliahub.agent;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import io.reactivex.rxjava3.subscribers.DisposableSubscriber;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.StageType;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.TimerService;

/**
 * An attempt that an agent has accepted: first queued, then running at the back end. Its
 * messages go to all gateways that listen to it.
 */
final class AttemptExecution {

	private final EndpointAgent agent;

	private final Message.Execute execute;

	private final long sequenceNumber;

	private final TimerService timers;

	private final long arrivalMillis;

	private final Set<GatewayLink> listeners = new LinkedHashSet<>();

	private final SerialDisposable timeoutTimer = new SerialDisposable();

	private final StringBuilder bufferedContent = new StringBuilder();

	private @Nullable ResultSubscriber subscriber;

	private long startMillis;

	private int maximumLength;

	private int sentChunks;

	private boolean disposed;

	AttemptExecution(EndpointAgent agent, Message.Execute execute, long sequenceNumber, TimerService timers) {
		this.agent = agent;
		this.execute = execute;
		this.sequenceNumber = sequenceNumber;
		this.timers = timers;
		this.arrivalMillis = timers.milliTime();
	}

	AttemptId attemptId() {
		return this.execute.attempt();
	}

	int priority() {
		return this.execute.priority();
	}

	long sequenceNumber() {
		return this.sequenceNumber;
	}

	boolean isIdempotent() {
		return this.execute.idempotent();
	}

	boolean isRunning() {
		return this.subscriber != null;
	}

	void addListener(GatewayLink link) {
		this.listeners.add(link);
	}

	boolean removeListener(GatewayLink link) {
		return this.listeners.remove(link);
	}

	boolean hasListeners() {
		return !this.listeners.isEmpty();
	}

	void broadcast(Message message) {
		this.listeners.forEach((link) -> link.send(message));
	}

	void startWaitTimeout(Runnable onTimeout) {
		Disposable timeout = this.timers.after(Duration.ofMillis(this.execute.budgetMillis()))
			.subscribe(onTimeout::run);
		this.timeoutTimer.set(timeout);
	}

	void run(EndpointClient client, Duration gracePeriod, int maximumResultLength) {
		this.startMillis = this.timers.milliTime();
		this.maximumLength = maximumResultLength;
		long remainingMillis = this.execute.budgetMillis() - (this.startMillis - this.arrivalMillis)
				+ gracePeriod.toMillis();
		ResultSubscriber resultSubscriber = new ResultSubscriber();
		this.subscriber = resultSubscriber;
		Disposable timeout = this.timers.after(Duration.ofMillis(remainingMillis))
			.subscribe(() -> fail("the deadline passed while the call was running", true));
		this.timeoutTimer.set(timeout);
		client
			.call(this.execute.call().withAttempt(attemptId()), Duration.ofMillis(Math.max(1, remainingMillis)),
					this.execute.priority())
			.subscribe(resultSubscriber);
	}

	void addCredit(int chunks) {
		if (this.subscriber != null && chunks > 0) {
			this.subscriber.requestMore(chunks);
		}
	}

	void dispose() {
		this.disposed = true;
		this.timeoutTimer.dispose();
		if (this.subscriber != null) {
			this.subscriber.dispose();
		}
	}

	private boolean isStreamed() {
		return isIdempotent() && this.execute.call().type() == StageType.GENERATE;
	}

	private void handleEvent(EndpointEvent event) {
		if (event instanceof EndpointEvent.Chunk chunk) {
			handleChunk(chunk.content());
		}
		else if (event instanceof EndpointEvent.Finished finished) {
			complete(finished.units());
		}
	}

	private void handleChunk(String chunk) {
		if (isStreamed()) {
			sendChunk(new Message.Chunk(attemptId(), this.agent.incarnation(), this.sentChunks, chunk));
			this.sentChunks++;
			return;
		}
		this.bufferedContent.append(chunk);
		if (this.bufferedContent.length() > this.maximumLength) {
			fail("the result is longer than " + this.maximumLength + " characters", true);
		}
	}

	private void sendChunk(Message.Chunk chunk) {
		for (GatewayLink link : List.copyOf(this.listeners)) {
			if (!link.send(chunk)) {
				this.agent.handleChunkRefused(this, link);
			}
		}
	}

	private void complete(long units) {
		if (this.disposed) {
			return;
		}
		long executionMillis = this.timers.milliTime() - this.startMillis;
		StageOutput output = new StageOutput(this.execute.call().stage(), this.bufferedContent.toString(), units,
				executionMillis);
		this.agent.handleCompleted(this, output, this.sentChunks);
	}

	private void fail(String detail, boolean effectPossible) {
		if (!this.disposed) {
			this.agent.handleFailed(this, detail, effectPossible);
		}
	}

	/**
	 * Receives the result of the call. A streamed result is requested from the back end
	 * only as far as the gateway has granted credit.
	 */
	private final class ResultSubscriber extends DisposableSubscriber<EndpointEvent> {

		@Override
		protected void onStart() {
			// A buffered result needs no credit since its length is limited.
			request(isStreamed() ? EndpointAgent.INITIAL_CREDIT_CHUNKS : Long.MAX_VALUE);
		}

		@Override
		public void onNext(EndpointEvent event) {
			handleEvent(event);
		}

		@Override
		public void onError(Throwable failure) {
			boolean effectPossible = !(failure instanceof EndpointException exception) || exception.isEffectPossible();
			fail(String.valueOf(failure.getMessage()), effectPossible);
		}

		@Override
		public void onComplete() {
			fail("the back end ended its answer without a terminal event", true);
		}

		void requestMore(int count) {
			request(count);
		}

	}

}
