package org.magnoliahub.report;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;

import org.HdrHistogram.Histogram;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.RequestRecord;

/**
 * Adds requests up. Texts that callers choose are limited in length and number.
 */
final class TotalsCollector {

	static final String OTHER = "(other)";

	/** Longest name of a declared item; longer texts are no names. */
	static final int MAXIMUM_NAME = 63;

	/** Most classes and stages in the totals of one object; 11 pipelines of 6 stages. */
	private static final int MAXIMUM_KEYS = 100;

	private static final long LONGEST_MILLIS = 3_600_000;

	private static final int PRECISION_DIGITS = 2;

	private static final int HISTOGRAM_HEADER_BYTES = 256;

	private final Map<String, RecordTotals.ClassTotals> classes = new TreeMap<>();

	private final Map<ReasonKey, Long> reasons = new TreeMap<>(
			Comparator.comparing(ReasonKey::outcome).thenComparing(ReasonKey::reason));

	private final Map<StageKey, StageSums> stages = new TreeMap<>(
			Comparator.comparing(StageKey::pipeline).thenComparing(StageKey::stage));

	void add(RequestRecord record) {
		String outcome = record.outcome();
		boolean complete = outcome.equals("complete");
		add(new RecordTotals.ClassTotals(name(record.requestClass()), 1, one(complete),
				one(complete && record.withinDeadline()), one(outcome.equals("not_run")), one(outcome.equals("failed")),
				one(outcome.equals("outcome_unknown"))));
		if (!complete) {
			this.reasons.merge(new ReasonKey(outcome, record.reason()), 1L, Long::sum);
		}
		for (AttemptRecord attempt : record.attempts()) {
			boolean completed = attempt.result().equals("completed");
			StageSums sums = stage(record.pipeline(), attempt.stage());
			sums.attempts++;
			sums.cost += attempt.cost();
			sums.wastedCost += (completed && record.withinDeadline()) ? 0 : attempt.cost();
			sums.waitMillis += Math.max(0, attempt.waitMillis());
			if (completed) {
				sums.runMillis.recordValue(Math.max(0, Math.min(LONGEST_MILLIS, attempt.runMillis())));
			}
		}
	}

	void add(RecordTotals totals) {
		totals.classes().forEach(this::add);
		totals.reasons()
			.forEach((reason) -> this.reasons.merge(new ReasonKey(reason.outcome(), reason.reason()), reason.requests(),
					Long::sum));
		for (RecordTotals.StageTotals other : totals.stages()) {
			StageSums sums = stage(other.pipeline(), other.stage());
			sums.attempts += other.attempts();
			sums.cost += other.cost();
			sums.wastedCost += other.wastedCost();
			sums.waitMillis += other.waitMillis();
			sums.runMillis.add(histogram(other));
		}
	}

	RecordTotals totals() {
		return new RecordTotals(this.classes.values().stream().toList(),
				this.reasons.entrySet()
					.stream()
					.map((entry) -> new RecordTotals.ReasonTotals(entry.getKey().outcome(), entry.getKey().reason(),
							entry.getValue()))
					.toList(),
				this.stages.entrySet().stream().map((entry) -> entry.getValue().totals(entry.getKey())).toList());
	}

	/**
	 * Decodes the times of a stage.
	 * @param stage the stage
	 * @return the histogram
	 * @throws IllegalArgumentException if it is malformed
	 */
	static Histogram histogram(RecordTotals.StageTotals stage) {
		try {
			return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(stage.runMillis()), LONGEST_MILLIS);
		}
		catch (DataFormatException ex) {
			throw new IllegalArgumentException("histogram of stage " + stage.stage() + " is malformed", ex);
		}
	}

	private void add(RecordTotals.ClassTotals totals) {
		boolean full = this.classes.size() >= MAXIMUM_KEYS && !this.classes.containsKey(totals.requestClass());
		String key = full ? OTHER : totals.requestClass();
		RecordTotals.ClassTotals present = this.classes.getOrDefault(key,
				new RecordTotals.ClassTotals(key, 0, 0, 0, 0, 0, 0));
		this.classes.put(key, present.plus(totals));
	}

	private StageSums stage(String pipeline, String stage) {
		StageKey wanted = new StageKey(pipeline, stage);
		boolean full = this.stages.size() >= MAXIMUM_KEYS && !this.stages.containsKey(wanted);
		return this.stages.computeIfAbsent(full ? new StageKey(OTHER, OTHER) : wanted, (key) -> new StageSums());
	}

	private static String name(String text) {
		return (text.length() <= MAXIMUM_NAME) ? text : OTHER;
	}

	private static long one(boolean condition) {
		return condition ? 1 : 0;
	}

	private record ReasonKey(String outcome, String reason) {

	}

	private record StageKey(String pipeline, String stage) {

	}

	private static final class StageSums {

		private final Histogram runMillis = new Histogram(LONGEST_MILLIS, PRECISION_DIGITS);

		private long attempts;

		private double cost;

		private double wastedCost;

		private long waitMillis;

		private RecordTotals.StageTotals totals(StageKey key) {
			ByteBuffer buffer = ByteBuffer
				.allocate(this.runMillis.getNeededByteBufferCapacity() + HISTOGRAM_HEADER_BYTES);
			int length = this.runMillis.encodeIntoCompressedByteBuffer(buffer);
			return new RecordTotals.StageTotals(key.pipeline(), key.stage(), this.attempts,
					this.runMillis.getTotalCount(), this.cost, this.wastedCost, this.waitMillis,
					Arrays.copyOf(buffer.array(), length));
		}

	}

}
