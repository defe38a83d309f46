package org.magnoliahub.report;

import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import org.magnoliahub.claim.Claim;
import org.magnoliahub.claim.ClaimPhase;
import org.magnoliahub.configuration.AuditEntry;
import org.magnoliahub.model.Outcome;

/**
 * Content of the report as sections, which the text and the page have in common.
 */
final class ReportTables {

	private static final int SHOWN_ROWS = 20;

	/** Requests that no route or class was found for. */
	private static final String NO_CLASS = "(none)";

	private ReportTables() {
	}

	static List<Section> sections(DailyReport report) {
		List<Section> sections = new ArrayList<>();
		report.days().forEach((day) -> addDay(sections, day));
		sections.add(unknown(report.unknown()));
		sections.add(changes(report.changes()));
		return sections;
	}

	static String title(DailyReport.Day day) {
		return day.date() + (day.ended() ? " (yesterday)" : " (today, until now)");
	}

	/**
	 * Describes how complete the data of a day is.
	 * @param day the day
	 * @return one line
	 */
	static String completeness(DailyReport.Day day) {
		if (day.requests().value().isEmpty()) {
			return "NO DATA: the requests " + day.requests().fault();
		}
		RecordedPeriod period = day.requests().value().get();
		if (period.objects() == 0) {
			return "NO DATA: no gateway has stored anything";
		}
		String read = period.objects() + " objects of " + gateways(period.gateways());
		if (day.incomplete()) {
			return "INCOMPLETE: requests are missing, see the gaps; " + read + " were read";
		}
		return "Complete for the " + gateways(period.gateways()) + " that wrote: " + read + ", without a gap";
	}

	static String share(RecordTotals.ClassTotals totals, boolean incomplete) {
		if (totals.requests() == 0) {
			return "no requests";
		}
		// Rounded down, so that a miss never shows as 100 %.
		double percent = Math.floor(1_000.0 * totals.inTime() / totals.requests()) / 10;
		return String.format(Locale.ROOT, "%.1f %%", percent) + (incomplete ? " of those counted" : "");
	}

	private static String gateways(int count) {
		return count + ((count == 1) ? " gateway" : " gateways");
	}

	private static void addDay(List<Section> sections, DailyReport.Day day) {
		String title = title(day);
		RecordedPeriod period = day.requests().value().orElse(null);
		if (period == null || period.objects() == 0) {
			sections.add(new Section(title, completeness(day), List.of(), List.of(), true));
			return;
		}
		RecordTotals totals = period.totals();
		sections.add(new Section(title + ": answers in time", completeness(day),
				List.of("class", "share in time", "requests", "in time", "late", "not run", "failed", "unknown"),
				totals.classes()
					.stream()
					.map((each) -> List.of(each.requestClass().isEmpty() ? NO_CLASS : each.requestClass(),
							share(each, day.incomplete()), text(each.requests()), text(each.inTime()),
							text(each.complete() - each.inTime()), text(each.notRun()), text(each.failed()),
							text(each.unknown())))
					.toList(),
				day.incomplete()));
		if (!period.gaps().isEmpty()) {
			sections.add(gaps(title, period));
		}
		sections.add(new Section(title + ": refusals and failures", "", List.of("outcome", "reason", "requests"),
				totals.reasons()
					.stream()
					.sorted(Comparator.comparingLong(RecordTotals.ReasonTotals::requests).reversed())
					.map((reason) -> List.of(reason.outcome(), reason.reason(), text(reason.requests())))
					.toList(),
				false));
		String slowest = day.slowestStage()
			.map((stage) -> "Slowest stage: " + stage.pipeline() + "/" + stage.stage()
					+ ", 95 % of its attempts within " + DailyReport.percentile95(stage) + " ms")
			.orElse("No attempt completed");
		sections.add(new Section(title + ": cost by stage", slowest,
				List.of("pipeline", "stage", "attempts", "cost", "of it wasted", "median ms", "95 % ms"),
				totals.stages()
					.stream()
					.map((stage) -> List.of(stage.pipeline(), stage.stage(), text(stage.attempts()), cost(stage.cost()),
							cost(stage.wastedCost()), text(DailyReport.median(stage)),
							text(DailyReport.percentile95(stage))))
					.toList(),
				false));
	}

	private static Section gaps(String title, RecordedPeriod period) {
		List<List<String>> rows = period.gaps()
			.stream()
			.limit(SHOWN_ROWS)
			.map((gap) -> List.of(gap.gateway().isEmpty() ? "all" : gap.gateway(),
					gap.from().truncatedTo(ChronoUnit.SECONDS).toString(),
					gap.to().truncatedTo(ChronoUnit.SECONDS).toString(), gap.kind().text(),
					(gap.records() > 0) ? text(gap.records()) : "unknown"))
			.toList();
		return new Section(title + ": gaps in the data", more(rows.size(), period.gaps().size()),
				List.of("gateway", "from", "to", "what is missing", "requests"), rows, true);
	}

	private static Section unknown(DailyReport.Part<List<Claim>> part) {
		List<Claim> claims = part.value().orElse(List.of());
		List<List<String>> rows = claims.stream()
			.limit(SHOWN_ROWS)
			.map((claim) -> List.of(claim.workspace(), claim.idempotencyKey(), claim.requestId().value(),
					(claim.phase() instanceof ClaimPhase.Finished finished
							&& finished.outcome() instanceof Outcome.Unknown unknown) ? unknown.detail() : ""))
			.toList();
		String note = "";
		if (!claims.isEmpty()) {
			note = claims.size() + " found. Decide with: settle WORKSPACE KEY as complete \"...\" | failed \"...\". "
					+ more(rows.size(), claims.size());
		}
		else if (part.fault().isEmpty()) {
			note = "None.";
		}
		return new Section("Unknown outcomes that wait for a decision", fault(part.fault()) + note,
				List.of("workspace", "key", "request", "detail"), rows, !part.fault().isEmpty());
	}

	private static Section changes(DailyReport.Part<List<AuditEntry>> part) {
		List<AuditEntry> entries = part.value().orElse(List.of());
		List<List<String>> rows = entries.stream()
			.skip(Math.max(0, entries.size() - SHOWN_ROWS))
			.map((entry) -> List.of(entry.time().truncatedTo(ChronoUnit.SECONDS).toString(),
					entry.result().name().toLowerCase(Locale.ROOT), (entry.version() > 0) ? text(entry.version()) : "",
					entry.author(),
					(entry.comment().isEmpty() ? "" : entry.comment() + ": ")
							+ String.join(", ", entry.items().stream().limit(3).toList())
							+ ((entry.itemCount() > 3) ? " and " + (entry.itemCount() - 3) + " more" : "")))
			.toList();
		return new Section("Configuration changes and operators' decisions",
				fault(part.fault()) + (part.value().isPresent() ? more(rows.size(), entries.size()) : ""),
				List.of("time", "result", "version", "author", "change"), rows, !part.fault().isEmpty());
	}

	private static String fault(String fault) {
		return fault.isEmpty() ? "" : "INCOMPLETE: " + fault + ". ";
	}

	private static String more(int shown, int all) {
		return (shown < all) ? shown + " of " + all + " are shown." : "";
	}

	private static String text(long number) {
		return String.valueOf(number);
	}

	private static String cost(double cost) {
		return String.format(Locale.ROOT, "%.2f", cost);
	}

	/**
	 * A part of the report.
	 *
	 * @param title its title
	 * @param note a sentence above the table, possibly empty
	 * @param columns names of the columns
	 * @param rows the rows
	 * @param warning whether the note says that data is missing
	 */
	record Section(String title, String note, List<String> columns, List<List<String>> rows, boolean warning) {

	}

}
