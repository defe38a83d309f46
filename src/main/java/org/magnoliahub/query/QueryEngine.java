package org.magnoliahub.query;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.claim.Claim;
import org.magnoliahub.claim.ClaimAdministration;
import org.magnoliahub.claim.ClaimPhase;
import org.magnoliahub.configuration.AuditEntry;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.report.RecordGap;
import org.magnoliahub.report.RecordReader;
import org.magnoliahub.report.RecordedPeriod;

/**
 * Answers queries. Each answer states what is missing in its data.
 */
final class QueryEngine {

	/** Most objects read for one query; 20 minutes of 100 gateways. */
	private static final int MAXIMUM_OBJECTS = 20_000;

	private static final int MAXIMUM_CLAIMS_READ = 100_000;

	private static final int CLAIM_PAGE = 500;

	private static final int MAXIMUM_ROWS = 1_000;

	private static final int GATEWAY_SUFFIX = 33;

	private static final int SHOWN_ITEMS = 3;

	private static final int SHOWN_GAPS = 5;

	private final QuerySources sources;

	QueryEngine(QuerySources sources) {
		this.sources = sources;
	}

	Single<QueryResult> requests(Statement.Requests query) {
		Instant to = this.sources.wallTime().get().plusMillis(1);
		Instant from = to.minus(query.since());
		Predicate<RequestRecord> wanted = (record) -> !record.arrived().isBefore(from)
				&& query.conditions().stream().allMatch((condition) -> condition.holds(value(record, condition)));
		Map<String, Group> groups = new TreeMap<>();
		boolean grouped = !query.groupBy().isEmpty();
		// Groups are counted while objects are read, so that no record is kept.
		Predicate<RequestRecord> filter = (record) -> {
			boolean keep = wanted.test(record);
			if (keep && grouped) {
				groups.computeIfAbsent(value(record, query.groupBy()), (key) -> new Group()).add(record);
			}
			return keep && !grouped;
		};
		// An idle gateway writes nothing for up to that long, which is no gap.
		Instant start = from.minus(RecordReader.SILENCE);
		return read(start, to, filter, new RecordReader.Limits(MAXIMUM_OBJECTS, query.limit(), "")).map((found) -> {
			List<List<String>> rows = grouped ? groupRows(groups) : requestRows(found.records(), query.limit());
			List<String> columns = grouped ? List.of(query.groupBy(), "requests", "in_time")
					: List.of("request", "arrived", "workspace", "pipeline", "class", "outcome", "reason", "total_ms",
							"in_time", "attempts");
			return new QueryResult(columns, rows, found.notes(grouped, query.limit()));
		});
	}

	Single<QueryResult> story(Statement.RequestStory query) {
		Instant to = this.sources.wallTime().get().plusMillis(1);
		String gateway = (query.id().length() > GATEWAY_SUFFIX)
				? query.id().substring(0, query.id().length() - GATEWAY_SUFFIX) : query.id();
		return read(to.minus(query.since()), to, (record) -> record.request().value().equals(query.id()),
				new RecordReader.Limits(MAXIMUM_OBJECTS, 1, gateway))
			.map((found) -> {
				List<String> columns = List.of("event", "detail");
				if (found.records().isEmpty()) {
					List<String> notes = new ArrayList<>(found.notes(false, 1));
					notes.add("no record of this request: it has not ended, is older, or was left out by sampling");
					return new QueryResult(columns, List.of(), notes);
				}
				return new QueryResult(columns, storyRows(found.records().get(0)), List.of());
			});
	}

	Single<QueryResult> endpoints(Statement.Endpoints query) {
		Set<String> usable = this.sources.usable().get();
		return this.sources.configuration().load().map((configuration) -> {
			List<EndpointRow> rows = new TreeMap<>(configuration.endpoints()).values()
				.stream()
				.map((endpoint) -> row(endpoint, usable.contains(endpoint.name())))
				.toList();
			return EndpointRow.select(rows, query, List.of("version " + configuration.version()
					+ "; 'usable' means that this gateway can send work there now"));
		});
	}

	private static EndpointRow row(Endpoint endpoint, boolean usable) {
		// A gateway that has not heard of a drain still sends work there.
		String unused = endpoint.draining() ? EndpointRow.DRAINING : "unreachable";
		return new EndpointRow(endpoint.name(), endpoint.pool(), endpoint.availabilityZone().name(),
				endpoint.agentAddress(), endpoint.draining(), usable ? EndpointRow.USABLE : unused, 0);
	}

	Single<QueryResult> versions(Statement.Versions query) {
		Instant from = this.sources.wallTime().get().minus(query.since());
		return this.sources.configuration().readAuditTrail(from, "", MAXIMUM_ROWS).map((found) -> {
			List<List<String>> rows = new ArrayList<>();
			for (ConfigurationRepository.AuditRow row : found) {
				AuditEntry entry = row.entry();
				rows.add(List.of(entry.time().toString(), entry.result().name().toLowerCase(Locale.ROOT),
						String.valueOf(entry.version()), entry.author(), entry.comment(),
						String.join(", ", entry.items().stream().limit(SHOWN_ITEMS).toList())
								+ ((entry.itemCount() > SHOWN_ITEMS)
										? " and " + (entry.itemCount() - SHOWN_ITEMS) + " more" : ""),
						String.join("; ", entry.faults())));
			}
			return new QueryResult(List.of("time", "result", "version", "author", "comment", "change", "faults"), rows,
					(found.size() < MAXIMUM_ROWS) ? List.of() : List.of("there are more entries; ask for less time"));
		});
	}

	Single<QueryResult> leases() {
		return this.sources.leases().list(MAXIMUM_ROWS).map((leases) -> {
			List<List<String>> rows = leases.stream()
				.map((lease) -> List.of(lease.duty(), lease.holder(), String.valueOf(lease.fencingNumber()),
						String.valueOf(lease.renewals())))
				.toList();
			return new QueryResult(List.of("duty", "holder", "fencing_number", "renewals"), rows,
					List.of("a holder that died stays in the row until another one takes over"));
		});
	}

	Single<QueryResult> claims(Statement.Claims query) {
		return claims(query, new ClaimScan(), "");
	}

	private Single<QueryResult> claims(Statement.Claims query, ClaimScan scan, String after) {
		return this.sources.claims().list(after, CLAIM_PAGE).flatMap((page) -> {
			scan.read += page.claims().size();
			scan.unreadable += page.unreadableRows();
			page.claims().stream().filter((claim) -> matches(query.conditions(), fields(claim))).forEach(scan::add);
			boolean stop = scan.read >= MAXIMUM_CLAIMS_READ || scan.cut;
			return (page.continuationKey().isEmpty() || stop)
					? Single.just(scan.result(!page.continuationKey().isEmpty()))
					: claims(query, scan, page.continuationKey());
		});
	}

	private Single<Found> read(Instant from, Instant to, Predicate<RequestRecord> filter, RecordReader.Limits limits) {
		Unwritten unwritten = new Unwritten(this.sources.unwritten().get());
		// An object can be stored between the two looks; its records count once.
		Predicate<RequestRecord> stored = (record) -> !unwritten.byId().containsKey(record.request().value())
				&& filter.test(record);
		return this.sources.records().read(from, to, stored, limits).map((period) -> {
			List<RequestRecord> records = new ArrayList<>(period.records());
			unwritten.byId().values().stream().filter(filter).forEach(records::add);
			records.sort(Comparator.comparing(RequestRecord::arrived).reversed());
			return new Found(period, records);
		});
	}

	private static boolean matches(List<Comparison> conditions, Map<String, String> fields) {
		return conditions.stream()
			.allMatch((condition) -> condition.holdsFor(fields) || isUnknownOutcome(condition, fields));
	}

	// 'unknown' is accepted for the label 'outcome_unknown'.
	private static boolean isUnknownOutcome(Comparison condition, Map<String, String> fields) {
		return condition.field().equals("outcome") && condition.operator() == Comparison.Operator.EQUAL
				&& condition.value().equals("unknown") && "outcome_unknown".equals(fields.get("outcome"));
	}

	private static Map<String, String> fields(Claim claim) {
		return Map.of("workspace", claim.workspace(), "key", claim.idempotencyKey(), "outcome",
				ClaimAdministration.stateOf(claim));
	}

	private static String value(RequestRecord record, Comparison condition) {
		boolean shortened = condition.field().equals("outcome") && condition.value().equals("unknown");
		String value = value(record, condition.field());
		return (shortened && value.equals("outcome_unknown")) ? "unknown" : value;
	}

	private static String value(RequestRecord record, String field) {
		return switch (field) {
			case "workspace" -> record.workspace();
			case "pipeline" -> record.pipeline();
			case "class" -> record.requestClass();
			case "outcome" -> record.outcome();
			case "reason" -> record.reason();
			case "gateway" -> record.gateway();
			case "in_time" -> String.valueOf(record.withinDeadline());
			case "total_ms" -> String.valueOf(record.totalMillis());
			default -> String.valueOf(record.attempts().size());
		};
	}

	private static List<List<String>> groupRows(Map<String, Group> groups) {
		return groups.entrySet()
			.stream()
			.sorted((left, right) -> Long.compare(right.getValue().requests, left.getValue().requests))
			.limit(MAXIMUM_ROWS)
			.map((entry) -> List.of(entry.getKey(), String.valueOf(entry.getValue().requests),
					String.valueOf(entry.getValue().inTime)))
			.toList();
	}

	private static List<List<String>> requestRows(List<RequestRecord> records, int limit) {
		return records.stream()
			.limit(limit)
			.map((record) -> List.of(record.request().value(), record.arrived().toString(), record.workspace(),
					record.pipeline(), record.requestClass(), record.outcome(), record.reason(),
					String.valueOf(record.totalMillis()), String.valueOf(record.withinDeadline()),
					String.valueOf(record.attempts().size())))
			.toList();
	}

	private static List<List<String>> storyRows(RequestRecord record) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("arrived", record.arrived() + " at " + record.gateway() + ", workspace " + record.workspace()
				+ ", pipeline " + record.pipeline() + ", class " + record.requestClass()));
		for (AttemptRecord attempt : record.attempts()) {
			rows.add(List.of("stage " + attempt.stage() + ", attempt " + attempt.attempt(),
					"waited " + attempt.waitMillis() + " ms for an endpoint, then " + attempt.runMillis() + " ms at "
							+ attempt.endpoint() + ": " + attempt.result()
							+ String.format(Locale.ROOT, ", cost %.4f", attempt.cost())));
		}
		if (record.attempts().isEmpty()) {
			rows.add(List.of("no attempt", "nothing was sent to an endpoint"));
		}
		String why = record.reason().isEmpty() ? "" : ", " + record.reason();
		rows.add(List.of("answered", "after " + record.totalMillis() + " ms: " + record.outcome() + why
				+ (record.withinDeadline() ? ", within the deadline" : "")));
		if (!record.detail().isEmpty()) {
			rows.add(List.of("detail", record.detail()));
		}
		return rows;
	}

	/**
	 * Records of this process that were not stored, decoded when they are first needed.
	 */
	private static final class Unwritten {

		private final Supplier<List<RequestRecord>> source;

		private @Nullable Map<String, RequestRecord> records;

		private Unwritten(Supplier<List<RequestRecord>> source) {
			this.source = source;
		}

		private Map<String, RequestRecord> byId() {
			Map<String, RequestRecord> present = this.records;
			if (present == null) {
				present = new LinkedHashMap<>();
				for (RequestRecord record : this.source.get()) {
					present.put(record.request().value(), record);
				}
				this.records = present;
			}
			return present;
		}

	}

	private static final class Group {

		private long requests;

		private long inTime;

		private void add(RequestRecord record) {
			this.requests++;
			this.inTime += record.withinDeadline() ? 1 : 0;
		}

	}

	private record Found(RecordedPeriod period, List<RequestRecord> records) {

		private List<String> notes(boolean grouped, int limit) {
			List<String> notes = new ArrayList<>();
			if (this.period.objects() == 0) {
				notes.add("INCOMPLETE: no gateway has stored any data of this time");
			}
			for (RecordGap gap : this.period.gaps().stream().limit(SHOWN_GAPS).toList()) {
				notes.add("INCOMPLETE: " + (gap.gateway().isEmpty() ? "all gateways" : gap.gateway()) + " from "
						+ gap.from() + " to " + gap.to() + ": " + gap.kind().text()
						+ ((gap.records() > 0) ? " (" + gap.records() + ")" : ""));
			}
			if (this.period.gaps().size() > SHOWN_GAPS) {
				notes.add("INCOMPLETE: " + (this.period.gaps().size() - SHOWN_GAPS) + " further gaps");
			}
			if (this.period.sampledOut() > 0) {
				notes.add(this.period.sampledOut() + " requests complete in time are left out by sampling"
						+ (grouped ? " and not counted here" : ""));
			}
			if (this.period.recordsCut() || (!grouped && this.records.size() > limit)) {
				notes.add("there are more requests than the limit of " + limit);
			}
			return notes;
		}

	}

	private static final class ClaimScan {

		private final List<List<String>> rows = new ArrayList<>();

		private int read;

		private int unreadable;

		private boolean cut;

		private void add(Claim claim) {
			if (this.rows.size() >= MAXIMUM_ROWS) {
				this.cut = true;
				return;
			}
			String detail = "";
			if (claim.phase() instanceof ClaimPhase.Assigned assigned) {
				detail = "stage " + assigned.stage() + " at " + assigned.endpoint() + ", attempt " + assigned.attempt();
			}
			else if (claim.phase() instanceof ClaimPhase.Finished finished
					&& finished.outcome() instanceof Outcome.Unknown unknown) {
				detail = "stage " + unknown.stage() + ": " + unknown.detail();
			}
			this.rows.add(List.of(claim.workspace(), claim.idempotencyKey(), ClaimAdministration.stateOf(claim),
					claim.requestId().value(), detail));
		}

		private QueryResult result(boolean more) {
			List<String> notes = new ArrayList<>();
			if (more || this.cut) {
				notes.add("INCOMPLETE: there are more claims; " + this.read + " were read");
			}
			if (this.unreadable > 0) {
				notes.add("INCOMPLETE: " + this.unreadable + " claims of a newer version cannot be read");
			}
			return new QueryResult(List.of("workspace", "key", "outcome", "request", "detail"), this.rows, notes);
		}

	}

}
