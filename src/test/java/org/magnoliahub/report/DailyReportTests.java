package org.magnoliahub.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.LocalDate;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.magnoliahub.claim.Claim;
import org.magnoliahub.claim.ClaimPhase;
import org.magnoliahub.configuration.AuditEntry;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.store.StoreException;

import static org.assertj.core.api.Assertions.assertThat;

class DailyReportTests {

	private static final Instant NOW = Instant.parse("2026-12-04T09:30:00Z");

	private static final LocalDate TODAY = LocalDate.parse("2026-12-04");

	private static RecordedPeriod period(int requests, List<RecordGap> gaps) {
		TotalsCollector totals = new TotalsCollector();
		for (int i = 0; i < requests; i++) {
			totals.add(RecordWriterTests.record(i, NOW, (i % 10 == 1) ? "not_run" : "complete"));
		}
		totals.add(new RequestRecord(new RequestId("gateway-a-x"), "gateway-a", "hakodate", "report", "draft", NOW,
				5_000, "failed", "deadline_exceeded", "", false,
				List.of(new AttemptRecord("generate", "engine-1", 1, 40, 4_800, "cancelled", 9.6))));
		return new RecordedPeriod(NOW, NOW, 12, 2, totals.totals(), 0, gaps, List.of(), false);
	}

	private static DailyReport report(DailyReport.Part<RecordedPeriod> yesterday,
			DailyReport.Part<RecordedPeriod> today) {
		Claim claim = new Claim("hakodate", "<b>42</b>", "hash", "token", new RequestId("gateway-a-42"),
				new ClaimPhase.Finished(new Outcome.Unknown("file", "the agent restarted")));
		AuditEntry entry = AuditEntry.ofCommand(NOW, "id", "kanako", AuditEntry.Result.REFUSED,
				"drain endpoint engine-9", List.of("not declared"));
		return new DailyReport(NOW,
				List.of(new DailyReport.Day(TODAY.minusDays(1), true, yesterday),
						new DailyReport.Day(TODAY, false, today)),
				DailyReport.Part.whole(List.of(claim)), DailyReport.Part.whole(List.of(entry)));
	}

	/**
	 * Guards against wrong sums: wasted cost is that of attempts without an answer in
	 * time.
	 */
	@Test
	void wholeDayShowsSharesReasonsAndCost() throws IOException {
		DailyReport report = report(DailyReport.Part.whole(period(100, List.of())),
				DailyReport.Part.whole(period(40, List.of())));
		String text = TextReport.render(report);
		assertThat(text).contains("Complete for the 2 gateways that wrote: 12 objects of 2 gateways, without a gap")
			.containsPattern("draft +98\\.0 % +51 +50 ")
			.containsPattern("lookup +80\\.0 % +50 +40 ")
			.containsPattern("not_run +no_endpoint +10")
			.containsPattern("report +generate +91 +54\\.60 +9\\.60 ")
			.contains("Slowest stage: report/generate")
			.contains("gateway-a-42")
			.doesNotContain("INCOMPLETE");
		String page = HtmlReport.render(report);
		assertThat(page).contains("data:image/png;base64,").contains("&lt;b&gt;42").doesNotContain("<b>42");
		Files.writeString(Path.of("target", "daily-report.html"), page);
	}

	/**
	 * Guards against a report that shows missing data as success.
	 */
	@Test
	void gapsAreNeverShownAsSuccess() throws IOException {
		RecordGap gap = new RecordGap("gateway-b", 7, NOW.minusSeconds(3_600), NOW, RecordGap.Kind.NO_FURTHER_OBJECT,
				0);
		RecordedPeriod nothing = new RecordedPeriod(NOW, NOW, 0, 0, new TotalsCollector().totals(), 0, List.of(),
				List.of(), false);
		DailyReport gaps = report(DailyReport.Part.whole(period(100, List.of(gap))), DailyReport.Part.whole(nothing));
		String text = TextReport.render(gaps);
		assertThat(text).contains("INCOMPLETE: requests are missing", "98.0 % of those counted", "the process died",
				"NO DATA: no gateway has stored anything");
		assertThat(HtmlReport.render(gaps)).contains("class=\"warning\"");
		Files.writeString(Path.of("target", "daily-report-with-gaps.html"), HtmlReport.render(gaps));

		DailyReport.Part<RecordedPeriod> down = DailyReport.Part.missing(new StoreException("no answer", false));
		DailyReport failed = new DailyReport(NOW, List.of(new DailyReport.Day(TODAY, false, down)),
				new DailyReport.Part<>(Optional.empty(), "could not be read: no answer"),
				new DailyReport.Part<>(Optional.empty(), "could not be read: no answer"));
		assertThat(TextReport.render(failed)).contains("NO DATA: the requests could not be read")
			.doesNotContain("None.")
			.doesNotContain("100.0");
		assertThat(HtmlReport.render(failed)).contains("INCOMPLETE: could not be read");
	}

	@Test
	void aMissNeverRoundsToAllInTime() {
		assertThat(ReportTables.share(new RecordTotals.ClassTotals("c", 100_000, 99_999, 99_999, 1, 0, 0), false))
			.isEqualTo("99.9 %");
		assertThat(ReportTables.share(new RecordTotals.ClassTotals("c", 0, 0, 0, 0, 0, 0), false))
			.isEqualTo("no requests");
	}

}
