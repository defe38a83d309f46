package org.magnoliahub.entry;

import java.time.Duration;
import java.util.function.Supplier;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Counters, gauges and latency histograms of a gateway. No label takes values that grow
 * with workspaces, sessions, routes or requests.
 */
final class EntryMetrics {

	private static final Duration[] LATENCIES = { Duration.ofMillis(10), Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofMillis(2_500),
			Duration.ofSeconds(5), Duration.ofSeconds(15) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Counts the end of a request.
	 * @param kind kind of its route, or {@code none}
	 * @param outcome {@code answered}, {@code refused}, {@code failed} or
	 * {@code cancelled}
	 * @param reason reason of a refusal or failure, without details
	 * @param ageMillis time since its arrival
	 */
	void requestEnded(String kind, String outcome, String reason, long ageMillis) {
		this.registry.counter("entry.requests", "kind", kind, "outcome", outcome, "reason", shortened(reason))
			.increment();
		timer("entry.request.duration", "kind", kind).record(Duration.ofMillis(Math.max(0, ageMillis)));
	}

	/**
	 * Records the time to the first event of a stream.
	 * @param millis time since the arrival of the request
	 */
	void firstEvent(long millis) {
		timer("entry.first.event", "kind", "streaming").record(Duration.ofMillis(Math.max(0, millis)));
	}

	/**
	 * Counts an attempt that ended without an answer that can be passed on.
	 * @param mayHaveRun whether the request may have run
	 * @param next what follows
	 */
	void attemptFailed(boolean mayHaveRun, String next) {
		this.registry.counter("entry.attempts.failed", "may_have_run", Boolean.toString(mayHaveRun), "next", next)
			.increment();
	}

	/**
	 * Records a call of stage pieces.
	 * @param pieces number of pieces
	 * @param outcome {@code done} or {@code failed}
	 * @param millis time from sending to the answer
	 */
	void stageCall(int pieces, String outcome, long millis) {
		timer("entry.stage.call", "outcome", outcome).record(Duration.ofMillis(Math.max(0, millis)));
		DistributionSummary.builder("entry.stage.pieces")
			.serviceLevelObjectives(1, 2, 5, 10, 20, 50)
			.register(this.registry)
			.record(pieces);
	}

	/**
	 * Counts a call of the store.
	 * @param call what was called
	 * @param result {@code ok}, a status, or {@code none}
	 */
	void storeCall(String call, String result) {
		this.registry.counter("entry.store.calls", "call", call, "result", result).increment();
	}

	/**
	 * Records how late a timer of the event loop was.
	 * @param millis the delay
	 */
	void loopDelay(long millis) {
		timer("entry.loop.delay", "loop", "main").record(Duration.ofMillis(Math.max(0, millis)));
	}

	/**
	 * Adds a gauge.
	 * @param name its name
	 * @param value gives the present value
	 */
	void gauge(String name, Supplier<Number> value) {
		Gauge.builder(name, value).register(this.registry);
	}

	/**
	 * Returns all metrics.
	 * @return the Prometheus text format
	 */
	String text() {
		return this.registry.scrape();
	}

	private Timer timer(String name, String label, String value) {
		return Timer.builder(name).tag(label, value).serviceLevelObjectives(LATENCIES).register(this.registry);
	}

	private static String shortened(String reason) {
		int end = 0;
		while (end < reason.length() && (Character.isLetter(reason.charAt(end)) || reason.charAt(end) == '_')) {
			end++;
		}
		return reason.substring(0, end);
	}

}
