package org.magnoliahub.report;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.claim.Claim;
import org.magnoliahub.claim.ClaimAdministration;
import org.magnoliahub.configuration.AuditEntry;
import org.magnoliahub.configuration.ConfigurationRepository;

/**
 * Collects the daily report. A part whose store fails is reported as missing.
 */
public final class ReportBuilder {

	private static final int MAXIMUM_CHANGES = 10_000;

	private static final int PAGE = 1_000;

	private static final int MAXIMUM_CLAIMS_READ = 100_000;

	private static final int MAXIMUM_UNKNOWN = 200;

	private final RecordReader records;

	private final ConfigurationRepository configuration;

	private final ClaimAdministration claims;

	private final Supplier<Instant> wallTime;

	private final int maximumObjects;

	private ReportBuilder(RecordReader records, ConfigurationRepository configuration, ClaimAdministration claims,
			Supplier<Instant> wallTime, int maximumObjects) {
		this.records = records;
		this.configuration = configuration;
		this.claims = claims;
		this.wallTime = wallTime;
		this.maximumObjects = maximumObjects;
	}

	/**
	 * Creates a builder.
	 * @param records stored records
	 * @param configuration the audit trail
	 * @param claims claims
	 * @param wallTime wall time
	 * @param maximumObjects most objects read per day, at least 1
	 * @return the builder
	 */
	public static ReportBuilder of(RecordReader records, ConfigurationRepository configuration,
			ClaimAdministration claims, Supplier<Instant> wallTime, int maximumObjects) {
		return new ReportBuilder(records, configuration, claims, wallTime, maximumObjects);
	}

	/**
	 * Builds the report of yesterday and today.
	 * @return the report, never an error of a store
	 */
	public Single<DailyReport> build() {
		Instant now = this.wallTime.get();
		LocalDate today = LocalDate.ofInstant(now, ZoneOffset.UTC);
		Instant midnight = start(today);
		Instant yesterday = start(today.minusDays(1));
		return Single.zip(day(yesterday, midnight, true), day(midnight, now.plusMillis(1), false),
				unknown(new ArrayList<>(), "", 0), changes(yesterday, "", new ArrayList<>()),
				(first, second, unknown, changes) -> new DailyReport(now, List.of(first, second), unknown, changes));
	}

	private static Instant start(LocalDate day) {
		return day.atStartOfDay(ZoneOffset.UTC).toInstant();
	}

	private Single<DailyReport.Day> day(Instant from, Instant to, boolean ended) {
		return this.records.read(from, to, (record) -> false, new RecordReader.Limits(this.maximumObjects, 0, ""))
			.map(DailyReport.Part::whole)
			.onErrorReturn(DailyReport.Part::missing)
			.map((part) -> new DailyReport.Day(RecordKey.dayOf(from), ended, part));
	}

	private Single<DailyReport.Part<List<Claim>>> unknown(List<Claim> found, String after, int read) {
		return this.claims.list(after, PAGE).flatMap((page) -> {
			page.claims()
				.stream()
				.filter((claim) -> ClaimAdministration.stateOf(claim).equals("outcome_unknown"))
				.forEach(found::add);
			int total = read + page.claims().size();
			if (page.continuationKey().isEmpty()) {
				return Single.just(DailyReport.Part.whole(found));
			}
			return (total >= MAXIMUM_CLAIMS_READ || found.size() >= MAXIMUM_UNKNOWN)
					? Single.just(new DailyReport.Part<List<Claim>>(java.util.Optional.of(found),
							"not whole: there are more claims than the " + total + " that were read"))
					: unknown(found, page.continuationKey(), total);
		}).onErrorReturn(DailyReport.Part::missing);
	}

	private Single<DailyReport.Part<List<AuditEntry>>> changes(Instant from, String after, List<AuditEntry> found) {
		return this.configuration.readAuditTrail(from, after, PAGE).flatMap((rows) -> {
			rows.forEach((row) -> found.add(row.entry()));
			if (rows.size() < PAGE) {
				return Single.just(DailyReport.Part.whole(found));
			}
			return (found.size() >= MAXIMUM_CHANGES)
					? Single.just(new DailyReport.Part<List<AuditEntry>>(java.util.Optional.of(found),
							"not whole: there are more than " + found.size() + " entries"))
					: changes(from, rows.get(rows.size() - 1).key(), found);
		}).onErrorReturn(DailyReport.Part::missing);
	}

}
