package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.jspecify.annotations.Nullable;

/**
 * Counters, gauges and latency histograms of a gateway. No label takes values that grow
 * with workspaces, sessions, routes or requests.
 */
final class EntryMetrics {

	private static final Duration[] LATENCIES = { Duration.ofMillis(10), Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofMillis(2_500),
			Duration.ofSeconds(5), Duration.ofSeconds(15) };

	private static final int MAXIMUM_EARLY = 50_000;

	private final List<Consumer<PrometheusMeterRegistry>> early = new ArrayList<>();

	private @Nullable PrometheusMeterRegistry registry;

	/**
	 * Creates a registry. It loads many classes, so it is called on a thread of its own
	 * when a starting gateway already serves.
	 * @return the registry, to be passed to {@link #begin}
	 */
	static PrometheusMeterRegistry createRegistry() {
		PrometheusMeterRegistry created = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
		timer(created, "entry.loop.delay", "loop", "main");
		stagePieces(created);
		created.scrape();
		return created;
	}

	/**
	 * Takes the registry, and records in it what was recorded before.
	 * @param created the registry
	 */
	void begin(PrometheusMeterRegistry created) {
		this.registry = created;
		this.early.forEach((update) -> update.accept(created));
		this.early.clear();
	}

	private void record(Consumer<PrometheusMeterRegistry> update) {
		PrometheusMeterRegistry present = this.registry;
		if (present != null) {
			update.accept(present);
		}
		else if (this.early.size() < MAXIMUM_EARLY) {
			this.early.add(update);
		}
	}

	/**
	 * Counts the end of a request.
	 * @param kind kind of its route, or {@code none}
	 * @param outcome {@code answered}, {@code refused}, {@code failed} or
	 * {@code cancelled}
	 * @param reason reason of a refusal or failure, without details
	 * @param ageMillis time since its arrival
	 */
	void requestEnded(String kind, String outcome, String reason, long ageMillis) {
		Duration age = Duration.ofMillis(Math.max(0, ageMillis));
		record((meters) -> {
			meters.counter("entry.requests", "kind", kind, "outcome", outcome, "reason", reasonCode(reason))
				.increment();
			timer(meters, "entry.request.duration", "kind", kind).record(age);
		});
	}

	/**
	 * Records the time to the first event of a stream.
	 * @param millis time since the arrival of the request
	 */
	void firstEvent(long millis) {
		Duration time = Duration.ofMillis(Math.max(0, millis));
		record((meters) -> timer(meters, "entry.first.event", "kind", "streaming").record(time));
	}

	/**
	 * Counts an attempt that ended without an answer that can be passed on.
	 * @param mayHaveRun whether the request may have run
	 * @param next what follows
	 */
	void attemptFailed(boolean mayHaveRun, String next) {
		String run = Boolean.toString(mayHaveRun);
		record((meters) -> meters.counter("entry.attempts.failed", "may_have_run", run, "next", next).increment());
	}

	/**
	 * Records a call of stage pieces.
	 * @param pieces number of pieces
	 * @param outcome {@code done} or {@code failed}
	 * @param millis time from sending to the answer
	 */
	void stageCall(int pieces, String outcome, long millis) {
		Duration time = Duration.ofMillis(Math.max(0, millis));
		record((meters) -> {
			timer(meters, "entry.stage.call", "outcome", outcome).record(time);
			stagePieces(meters).record(pieces);
		});
	}

	/**
	 * Counts a call of the store.
	 * @param call what was called
	 * @param result {@code ok}, a status, or {@code none}
	 */
	void storeCall(String call, String result) {
		record((meters) -> meters.counter("entry.store.calls", "call", call, "result", result).increment());
	}

	/**
	 * Counts a notice of an endpoint.
	 * @param state {@code leaving} or {@code paused}
	 */
	void endpointNotice(String state) {
		record((meters) -> meters.counter("entry.endpoint.notices", "state", state).increment());
	}

	/**
	 * Counts a return of the store from an older copy.
	 */
	void storeRestored() {
		record((meters) -> meters.counter("entry.store.restored").increment());
	}

	/**
	 * Records how late a timer of the event loop was.
	 * @param millis the delay
	 */
	void loopDelay(long millis) {
		Duration delay = Duration.ofMillis(Math.max(0, millis));
		record((meters) -> timer(meters, "entry.loop.delay", "loop", "main").record(delay));
	}

	/**
	 * Adds a gauge.
	 * @param name its name
	 * @param value gives the present value
	 */
	void gauge(String name, Supplier<Number> value) {
		record((meters) -> Gauge.builder(name, value).register(meters));
	}

	/**
	 * Returns all metrics.
	 * @return the Prometheus text format, empty as long as there is no registry
	 */
	String text() {
		return (this.registry != null) ? this.registry.scrape() : "";
	}

	private static Timer timer(PrometheusMeterRegistry meters, String name, String label, String value) {
		return Timer.builder(name).tag(label, value).serviceLevelObjectives(LATENCIES).register(meters);
	}

	private static DistributionSummary stagePieces(PrometheusMeterRegistry meters) {
		return DistributionSummary.builder("entry.stage.pieces")
			.serviceLevelObjectives(1, 2, 5, 10, 20, 50)
			.register(meters);
	}

	static String reasonCode(String reason) {
		int end = 0;
		while (end < reason.length() && (Character.isLetter(reason.charAt(end)) || reason.charAt(end) == '_')) {
			end++;
		}
		return reason.substring(0, end);
	}

}
