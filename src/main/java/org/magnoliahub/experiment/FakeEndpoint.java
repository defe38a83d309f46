package org.magnoliahub.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.TimerService;

/**
 * Fake endpoint with continuous batching: calls in the batch share the endpoint and slow
 * each other down, further calls wait in order of arrival.
 */
final class FakeEndpoint {

	/** Load reports describe a state up to this old. */
	private static final long REPORT_INTERVAL_MILLIS = 200;

	private static final double REPORT_LOSS = 0.1;

	/** Time until connections to a lost endpoint are known to be broken. */
	private static final Duration LOSS_DETECTION = Duration.ofMillis(500);

	private static final int CACHED_PREFIXES = 32;

	private final Endpoint endpoint;

	private final Workload.Pool pool;

	private final TimerService timers;

	private final RandomGenerator random;

	private final PriorityQueue<Call> running = new PriorityQueue<>(Comparator.comparingDouble((call) -> call.finish));

	private final Deque<Call> waiting = new ArrayDeque<>();

	private final List<Call> unreachable = new ArrayList<>();

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true) {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > CACHED_PREFIXES;
		}
	};

	private double speed;

	private double attained;

	private double attainedAtMillis;

	private long timerGeneration;

	private boolean lost;

	private boolean lossDetected;

	private Message.LoadReport report = new Message.LoadReport(0, 0, 0);

	FakeEndpoint(Endpoint endpoint, Workload.Pool pool, double speed, TimerService timers, RandomGenerator random) {
		this.endpoint = endpoint;
		this.pool = pool;
		this.speed = speed;
		this.timers = timers;
		this.random = random;
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Multiplies the speed without notice.
	 * @param factor the factor, below 1 for slower
	 */
	void changeSpeed(double factor) {
		advance();
		this.speed *= factor;
		scheduleNext();
	}

	/**
	 * Loses the endpoint: calls never end by themselves, and fail once the loss is
	 * detected.
	 */
	void lose() {
		advance();
		this.lost = true;
		this.unreachable.addAll(this.running);
		this.unreachable.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		this.timers.after(LOSS_DETECTION).subscribe(() -> {
			if (this.lost) {
				this.lossDetected = true;
				this.unreachable.forEach((call) -> call.listener.failed(false));
				this.unreachable.clear();
			}
		});
	}

	/**
	 * Brings a lost endpoint back, with an empty prefix cache.
	 */
	void recover() {
		this.lost = false;
		this.lossDetected = false;
		this.prefixes.clear();
		this.attainedAtMillis = millis();
	}

	Call call(double units, boolean generates, long prefix, CallListener listener) {
		Call call = new Call(units, generates, prefix, listener);
		if (this.lossDetected) {
			listener.failed(true);
		}
		else if (this.lost) {
			this.unreachable.add(call);
		}
		else {
			advance();
			this.waiting.add(call);
			startWaiting();
			scheduleNext();
		}
		return call;
	}

	void cancel(Call call) {
		advance();
		if (this.running.remove(call)) {
			startWaiting();
			scheduleNext();
		}
		else {
			this.waiting.remove(call);
			this.unreachable.remove(call);
		}
	}

	Message.LoadReport load() {
		long now = this.timers.milliTime();
		if (now - this.report.agentMillis() >= REPORT_INTERVAL_MILLIS) {
			boolean reportLost = this.random.nextDouble() < REPORT_LOSS;
			this.report = reportLost
					? new Message.LoadReport(this.report.running(), this.report.waiting(), this.report.agentMillis())
					: new Message.LoadReport(this.running.size(), this.waiting.size(), now);
		}
		return this.report;
	}

	private double millis() {
		return this.timers.nanoTime() / 1e6;
	}

	private double rate() {
		return this.speed / (1 + this.pool.slowdown() * (this.running.size() - 1));
	}

	private void advance() {
		double now = millis();
		if (!this.running.isEmpty()) {
			this.attained += (now - this.attainedAtMillis) * rate();
		}
		this.attainedAtMillis = now;
	}

	private void startWaiting() {
		while (this.running.size() < this.pool.slots() && !this.waiting.isEmpty()) {
			Call call = this.waiting.remove();
			boolean warm = this.prefixes.put(call.prefix, true) != null;
			double prefill = (call.generates && !warm) ? this.pool.prefillMillis() : 0;
			call.finish = this.attained + call.units * this.pool.unitMillis() + prefill;
			call.startedMillis = millis();
			this.running.add(call);
		}
	}

	private void scheduleNext() {
		long generation = ++this.timerGeneration;
		Call next = this.running.peek();
		if (next == null) {
			return;
		}
		double delay = Math.max(0, (next.finish - this.attained) / rate());
		this.timers.after(Duration.ofNanos((long) Math.ceil(delay * 1e6))).subscribe(() -> {
			if (generation == this.timerGeneration) {
				finishDue();
			}
		});
	}

	private void finishDue() {
		advance();
		List<Call> finished = new ArrayList<>();
		while (!this.running.isEmpty() && this.running.element().finish <= this.attained + 1e-6) {
			finished.add(this.running.remove());
		}
		startWaiting();
		scheduleNext();
		finished.forEach((call) -> call.listener.completed(call.runningMillis()));
	}

	/**
	 * Hears the end of a call.
	 */
	interface CallListener {

		/**
		 * The call completed.
		 * @param runningMillis time in the batch
		 */
		void completed(double runningMillis);

		/**
		 * The connection to the endpoint is broken.
		 * @param neverSent whether the call certainly did not run
		 */
		void failed(boolean neverSent);

	}

	/**
	 * A call at the endpoint.
	 */
	final class Call {

		private final double units;

		private final boolean generates;

		private final long prefix;

		private final CallListener listener;

		private double finish;

		private double startedMillis = -1;

		private Call(double units, boolean generates, long prefix, CallListener listener) {
			this.units = units;
			this.generates = generates;
			this.prefix = prefix;
			this.listener = listener;
		}

		double runningMillis() {
			return (this.startedMillis < 0) ? 0 : millis() - this.startedMillis;
		}

	}

}
