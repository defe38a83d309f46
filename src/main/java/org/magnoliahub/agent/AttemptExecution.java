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
 * One attempt at an agent, first waiting and then running.
 */
final class AttemptExecution {

	private final EndpointAgent agent;

	private final Message.Execute execute;

	private final long order;

	private final TimerService timers;

	private final long arrivedMillis;

	private final Set<GatewayLink> listeners = new LinkedHashSet<>();

	private final SerialDisposable timer = new SerialDisposable();

	private final StringBuilder content = new StringBuilder();

	private @Nullable ResultSubscriber subscriber;

	private long startedMillis;

	private int maximumLength;

	private int chunks;

	private boolean disposed;

	AttemptExecution(EndpointAgent agent, Message.Execute execute, long order, TimerService timers) {
		this.agent = agent;
		this.execute = execute;
		this.order = order;
		this.timers = timers;
		this.arrivedMillis = timers.milliTime();
	}

	AttemptId attempt() {
		return this.execute.attempt();
	}

	int priority() {
		return this.execute.priority();
	}

	long order() {
		return this.order;
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

	void startWaiting(Runnable onDeadline) {
		Disposable wait = this.timers.after(Duration.ofMillis(this.execute.budgetMillis())).subscribe(onDeadline::run);
		this.timer.set(wait);
	}

	void run(EndpointClient client, Duration grace, int maximumResultLength) {
		this.startedMillis = this.timers.milliTime();
		this.maximumLength = maximumResultLength;
		long budget = this.execute.budgetMillis() - (this.startedMillis - this.arrivedMillis) + grace.toMillis();
		ResultSubscriber result = new ResultSubscriber();
		this.subscriber = result;
		Disposable timeout = this.timers.after(Duration.ofMillis(budget))
			.subscribe(() -> fail("the deadline passed while the call was running", true));
		this.timer.set(timeout);
		client
			.call(this.execute.call().withAttempt(attempt()), Duration.ofMillis(Math.max(1, budget)),
					this.execute.priority())
			.subscribe(result);
	}

	void credit(int count) {
		if (this.subscriber != null && count > 0) {
			this.subscriber.more(count);
		}
	}

	void dispose() {
		this.disposed = true;
		this.timer.dispose();
		if (this.subscriber != null) {
			this.subscriber.dispose();
		}
	}

	private boolean isStreamed() {
		return isIdempotent() && this.execute.call().type() == StageType.GENERATE;
	}

	private void accept(EndpointEvent event) {
		if (event instanceof EndpointEvent.Part part) {
			acceptPart(part.content());
		}
		else if (event instanceof EndpointEvent.Finished finished) {
			finish(finished.units());
		}
	}

	private void acceptPart(String part) {
		if (isStreamed()) {
			sendChunk(new Message.Chunk(attempt(), this.agent.incarnation(), this.chunks, part));
			this.chunks++;
			return;
		}
		this.content.append(part);
		if (this.content.length() > this.maximumLength) {
			fail("the result is longer than " + this.maximumLength + " characters", true);
		}
	}

	private void sendChunk(Message.Chunk chunk) {
		for (GatewayLink link : List.copyOf(this.listeners)) {
			if (!link.send(chunk)) {
				this.agent.chunkRefused(this, link);
			}
		}
	}

	private void finish(long units) {
		if (this.disposed) {
			return;
		}
		long millis = this.timers.milliTime() - this.startedMillis;
		StageOutput output = new StageOutput(this.execute.call().stage(), this.content.toString(), units, millis);
		this.agent.completed(this, output, this.chunks);
	}

	private void fail(String detail, boolean effectPossible) {
		if (!this.disposed) {
			this.agent.failed(this, detail, effectPossible);
		}
	}

	/**
	 * Reads a streamed result only as far as the gateway allows.
	 */
	private final class ResultSubscriber extends DisposableSubscriber<EndpointEvent> {

		@Override
		protected void onStart() {
			// A stored result is bounded by its length, so it needs no credit.
			request(isStreamed() ? EndpointAgent.INITIAL_CREDIT : Long.MAX_VALUE);
		}

		@Override
		public void onNext(EndpointEvent event) {
			accept(event);
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

		void more(int count) {
			request(count);
		}

	}

}
