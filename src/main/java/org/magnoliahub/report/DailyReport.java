package org.magnoliahub.report;

import java.time.Instant;
import java.time.LocalDate;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.magnoliahub.claim.Claim;
import org.magnoliahub.configuration.AuditEntry;

/**
 * What an owner reads each morning.
 *
 * @param generated wall time of the report
 * @param days yesterday and today
 * @param unknown claims whose outcome waits for a decision
 * @param changes entries of the audit trail since the start of yesterday
 */
public record DailyReport(Instant generated, List<Day> days, Part<List<Claim>> unknown,
		Part<List<AuditEntry>> changes) {

	/**
	 * Copies the list.
	 */
	public DailyReport {
		days = List.copyOf(days);
	}

	static long percentile95(RecordTotals.StageTotals stage) {
		return TotalsCollector.histogram(stage).getValueAtPercentile(95);
	}

	static long median(RecordTotals.StageTotals stage) {
		return TotalsCollector.histogram(stage).getValueAtPercentile(50);
	}

	/**
	 * One day, in UTC.
	 *
	 * @param date the date
	 * @param ended whether the day is over
	 * @param requests what is stored of its requests
	 */
	public record Day(LocalDate date, boolean ended, Part<RecordedPeriod> requests) {

		/**
		 * Returns whether totals may lack requests.
		 * @return {@code true} unless everything that gateways wrote was read without gap
		 */
		public boolean incomplete() {
			return this.requests.value().map(RecordedPeriod::totalsIncomplete).orElse(true);
		}

		/**
		 * Finds the stage with the longest time of completed attempts.
		 * @return the stage with the highest 95th percentile, empty if no attempt
		 * completed
		 */
		public Optional<RecordTotals.StageTotals> slowestStage() {
			return this.requests.value()
				.flatMap((period) -> period.totals()
					.stages()
					.stream()
					.filter((stage) -> stage.completed() > 0)
					.max(Comparator.comparingLong(DailyReport::percentile95)));
		}

	}

	/**
	 * A part of the report that may be missing.
	 *
	 * @param <T> type of the part
	 * @param value the part, empty if it could not be read
	 * @param fault why it is missing or not whole, empty text if it is whole
	 */
	public record Part<T>(Optional<T> value, String fault) {

		static <T> Part<T> whole(T value) {
			return new Part<>(Optional.of(value), "");
		}

		static <T> Part<T> missing(Throwable failure) {
			return new Part<>(Optional.empty(), "could not be read: " + failure.getMessage());
		}

	}

}
