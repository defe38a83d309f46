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
 * Counters, gauges and latency histograms of a gateway. The number of label values does
 * not grow with workspaces, sessions, routes or requests. Updates before the registry is
 * set are queued.
 */
final class EntryMetrics {

	private static final Duration[] LATENCY_BUCKETS = { Duration.ofMillis(10), Duration.ofMillis(50),
			Duration.ofMillis(100), Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofSeconds(1),
			Duration.ofMillis(2_500), Duration.ofSeconds(5), Duration.ofSeconds(15) };

	private static final int MAXIMUM_PENDING_UPDATES = 50_000;

	private final List<Consumer<PrometheusMeterRegistry>> pendingUpdates = new ArrayList<>();

	private @Nullable PrometheusMeterRegistry registry;

	/**
	 * Creates a registry. This loads many classes, so it should run on a separate thread
	 * after the gateway has started to serve requests.
	 * @return the registry, to be passed to {@link #setRegistry}
	 */
	static PrometheusMeterRegistry createRegistry() {
		PrometheusMeterRegistry created = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
		timer(created, "entry.loop.delay", "loop", "main");
		stagePieceSummary(created);
		created.scrape();
		return created;
	}

	/**
	 * Sets the registry and applies the queued updates to it.
	 * @param created the registry
	 */
	void setRegistry(PrometheusMeterRegistry created) {
		this.registry = created;
		this.pendingUpdates.forEach((update) -> update.accept(created));
		this.pendingUpdates.clear();
	}

	private void record(Consumer<PrometheusMeterRegistry> update) {
		PrometheusMeterRegistry current = this.registry;
		if (current != null) {
			update.accept(current);
		}
		else if (this.pendingUpdates.size() < MAXIMUM_PENDING_UPDATES) {
			this.pendingUpdates.add(update);
		}
	}

	/**
	 * Counts the end of a request.
	 * @param kind kind of its route, or {@code none}
	 * @param outcome {@code answered}, {@code refused}, {@code failed} or
	 * {@code cancelled}
	 * @param reason reason of a refusal or failure; only its code becomes a label
	 * @param ageMillis time since the arrival of the request
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
	 * Counts an attempt that ended without a response that can be forwarded.
	 * @param mayHaveRun whether the request may have been executed
	 * @param next what the gateway does next
	 */
	void attemptFailed(boolean mayHaveRun, String next) {
		String run = Boolean.toString(mayHaveRun);
		record((meters) -> meters.counter("entry.attempts.failed", "may_have_run", run, "next", next).increment());
	}

	/**
	 * Counts a request or connection of a client that exceeded a limit of the gateway.
	 * @param reason the limit
	 */
	void clientRefused(String reason) {
		record((meters) -> meters.counter("entry.clients.refused", "reason", reason).increment());
	}

	/**
	 * Counts an unexpected exception while a request was handled.
	 */
	void requestFault() {
		record((meters) -> meters.counter("entry.request.faults").increment());
	}

	/**
	 * Records a call with a batch of stage pieces.
	 * @param pieces number of pieces
	 * @param outcome {@code done}, {@code failed}, or {@code withheld} for one that was
	 * not sent because its zone is evacuated
	 * @param millis time from the request to the response
	 */
	void stageCall(int pieces, String outcome, long millis) {
		Duration time = Duration.ofMillis(Math.max(0, millis));
		record((meters) -> {
			timer(meters, "entry.stage.call", "outcome", outcome).record(time);
			stagePieceSummary(meters).record(pieces);
		});
	}

	/**
	 * Counts a call to the store.
	 * @param call the HTTP method
	 * @param result the status, or {@code none} without a response
	 */
	void storeCall(String call, String result) {
		record((meters) -> meters.counter("entry.store.calls", "call", call, "result", result).increment());
	}

	/**
	 * Counts a notice in a response or in the record of an endpoint.
	 * @param state for example {@code leaving}, {@code paused} or {@code cold}
	 */
	void endpointNotice(String state) {
		record((meters) -> meters.counter("entry.endpoint.notices", "state", state).increment());
	}

	/**
	 * Counts a change of the evacuation of a zone.
	 * @param state {@code evacuated}, {@code missing} or {@code reopened}
	 */
	void zoneEvacuation(String state) {
		record((meters) -> meters.counter("entry.zone.evacuations", "state", state).increment());
	}

	/**
	 * Counts a restoration of the store from an older backup.
	 */
	void storeRestored() {
		record((meters) -> meters.counter("entry.store.restored").increment());
	}

	/**
	 * Records the delay of a timer of the event loop.
	 * @param millis the delay
	 */
	void loopDelay(long millis) {
		Duration delay = Duration.ofMillis(Math.max(0, millis));
		record((meters) -> timer(meters, "entry.loop.delay", "loop", "main").record(delay));
	}

	/**
	 * Adds a gauge.
	 * @param name its name
	 * @param value supplies the current value
	 */
	void gauge(String name, Supplier<Number> value) {
		record((meters) -> Gauge.builder(name, value).register(meters));
	}

	/**
	 * Returns all metrics.
	 * @return the metrics in the Prometheus text format, empty before the registry is set
	 */
	String scrape() {
		return (this.registry != null) ? this.registry.scrape() : "";
	}

	private static Timer timer(PrometheusMeterRegistry meters, String name, String label, String value) {
		return Timer.builder(name).tag(label, value).serviceLevelObjectives(LATENCY_BUCKETS).register(meters);
	}

	private static DistributionSummary stagePieceSummary(PrometheusMeterRegistry meters) {
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
