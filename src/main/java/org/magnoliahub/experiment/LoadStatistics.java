package org.magnoliahub.experiment;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Results of the calls of one class to one target. Times count from the intended send
 * time, so that calls delayed by slow answers before them are not flattered.
 */
final class LoadStatistics {

	/** Header of {@link #row}. */
	static final String HEADER = "class,target,calls,calls/s,parts,complete,in time %,p50 ms,p90 ms,p99 ms,"
			+ "p99.9 ms,max ms,first part p50 ms,first part p99 ms,refused,refusal p50 ms,refusal p99 ms,send delay p99 ms";

	private static final long HIGHEST_MICROS = TimeUnit.HOURS.toMicros(1);

	private final Histogram latency = new Histogram(HIGHEST_MICROS, 3);

	private final Histogram firstPart = new Histogram(HIGHEST_MICROS, 3);

	private final Histogram refusal = new Histogram(HIGHEST_MICROS, 3);

	private final Histogram sendDelay = new Histogram(HIGHEST_MICROS, 3);

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private int calls;

	private int complete;

	private int inTime;

	private int faulty;

	private long parts;

	/**
	 * Adds one call.
	 * @param answer what came back
	 * @param intendedNanos when the call was meant to be sent
	 * @param sentNanos when it was sent
	 * @param endNanos when its answer had arrived
	 * @param deadlineMillis deadline for attainment
	 */
	synchronized void add(LoadAnswer answer, long intendedNanos, long sentNanos, long endNanos, int deadlineMillis) {
		long micros = micros(intendedNanos, endNanos);
		this.calls++;
		this.parts += answer.parts();
		this.sendDelay.recordValue(micros(intendedNanos, sentNanos));
		String label = answer.outcome() + (answer.reason().isEmpty() ? "" : "/" + answer.reason())
				+ (answer.fault().isEmpty() ? "" : " (" + answer.fault() + ")");
		this.outcomes.merge(label, 1, Integer::sum);
		if (!answer.fault().isEmpty()) {
			this.faulty++;
			return;
		}
		if (answer.isComplete()) {
			this.complete++;
			this.latency.recordValue(micros);
			this.inTime += (micros <= deadlineMillis * 1_000L) ? 1 : 0;
		}
		else if (answer.outcome().equals(LoadAnswer.NOT_RUN)) {
			this.refusal.recordValue(micros);
		}
		if (answer.firstPartNanos() != 0) {
			this.firstPart.recordValue(micros(intendedNanos, answer.firstPartNanos()));
		}
	}

	private static long micros(long startNanos, long endNanos) {
		return Math.min(HIGHEST_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(endNanos - startNanos)));
	}

	synchronized int faulty() {
		return this.faulty;
	}

	synchronized boolean isEmpty() {
		return this.complete == 0;
	}

	synchronized double latencyMillis(double percentile) {
		return millis(this.latency, percentile);
	}

	synchronized Map<String, Integer> outcomes() {
		return new TreeMap<>(this.outcomes);
	}

	synchronized String row(String name, String target, long seconds) {
		return String.format(Locale.ROOT,
				"%s,%s,%d,%.1f,%d,%d,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%d,%.2f,%.2f,%.2f", name, target,
				this.calls, (double) this.calls / seconds, this.parts, this.complete,
				(this.calls == 0) ? 0 : 100.0 * this.inTime / this.calls, millis(this.latency, 50),
				millis(this.latency, 90), millis(this.latency, 99), millis(this.latency, 99.9),
				millis(this.latency, 100), millis(this.firstPart, 50), millis(this.firstPart, 99),
				this.refusal.getTotalCount(), millis(this.refusal, 50), millis(this.refusal, 99),
				millis(this.sendDelay, 99));
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1_000.0;
	}

}
