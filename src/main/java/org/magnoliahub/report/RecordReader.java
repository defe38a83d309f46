package org.magnoliahub.report;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.store.ObjectStore;

/**
 * Reads records and finds what is missing.
 */
public final class RecordReader {

	/**
	 * Time without an object after which a run counts as ended: two heartbeats and the
	 * longest pause between two writes to a failing store.
	 */
	public static final Duration SILENCE = Duration.ofSeconds(150);

	/** Reads in flight; the store serves about 2,000 reads a second to all processes. */
	private static final int CONCURRENT_READS = 16;

	private static final int PAGE = 1_000;

	private final ObjectStore store;

	private final Scheduler worker;

	private RecordReader(ObjectStore store, Scheduler worker) {
		this.store = store;
		this.worker = worker;
	}

	/**
	 * Creates a reader.
	 * @param store the object store
	 * @param worker where objects are decoded, apart from the event loop
	 * @return the reader
	 */
	public static RecordReader of(ObjectStore store, Scheduler worker) {
		return new RecordReader(store, worker);
	}

	/**
	 * Reads a span of time. An object belongs to the minute in which it ended.
	 * @param from start of the span
	 * @param to end of the span, exclusive; not in the future
	 * @param filter the records wanted
	 * @param limits the bounds of the work
	 * @return what is stored; {@link org.magnoliahub.store.StoreException} if the store
	 * fails
	 */
	public Single<RecordedPeriod> read(Instant from, Instant to, Predicate<RequestRecord> filter, Limits limits) {
		String end = RecordKey.minute(to.minusMillis(1)) + '~';
		return Flowable.fromIterable(days(from, to))
			.concatMap((day) -> keys(RecordKey.PREFIX + day + "/", RecordKey.minute(from)))
			.takeWhile((key) -> key.compareTo(end) <= 0)
			.filter((key) -> limits.gateway().isEmpty()
					|| RecordKey.parse(key).filter((parsed) -> parsed.gateway().equals(limits.gateway())).isPresent())
			.take(limits.objects() + 1L)
			.toList()
			.flatMap((keys) -> Flowable.fromIterable(keys.subList(0, Math.min(keys.size(), limits.objects())))
				.flatMapSingle(this::load, false, CONCURRENT_READS)
				.collect(() -> new Collector(from, to, filter, limits), Collector::add)
				.map((collector) -> collector.period(keys.size() > limits.objects())));
	}

	private static List<LocalDate> days(Instant from, Instant to) {
		LocalDate last = RecordKey.dayOf(to.minusMillis(1));
		return RecordKey.dayOf(from).datesUntil(last.plusDays(1)).toList();
	}

	private Flowable<String> keys(String prefix, String startAfter) {
		return this.store.list(prefix, startAfter, PAGE)
			.observeOn(this.worker)
			.flatMapPublisher((keys) -> (keys.size() < PAGE) ? Flowable.fromIterable(keys)
					: Flowable.fromIterable(keys).concatWith(Flowable.defer(() -> keys(prefix, keys.get(PAGE - 1)))));
	}

	private Single<Loaded> load(String key) {
		return this.store.get(key).observeOn(this.worker).map((object) -> {
			try {
				return new Loaded(key, object.map((present) -> RecordCodec.decode(present.content())));
			}
			catch (IllegalArgumentException ex) {
				return new Loaded(key, Optional.empty());
			}
		});
	}

	/**
	 * Bounds of one read.
	 *
	 * @param objects most objects
	 * @param records most records kept
	 * @param gateway name of the only gateway wanted, empty for all
	 */
	public record Limits(int objects, int records, String gateway) {

	}

	private record Loaded(String key, Optional<RecordBatch> batch) {

	}

	private record Run(String gateway, long incarnation) {

	}

	private static final class Collector {

		private final Instant from;

		private final Instant to;

		private final Predicate<RequestRecord> filter;

		private final Limits limits;

		private final TotalsCollector totals = new TotalsCollector();

		private final List<RequestRecord> records = new ArrayList<>();

		private final List<RecordGap> gaps = new ArrayList<>();

		private final TreeMap<Run, TreeMap<Long, Span>> runs = new TreeMap<>(
				Comparator.comparing(Run::gateway).thenComparing(Run::incarnation));

		private int objects;

		private long sampledOut;

		private boolean cut;

		private Collector(Instant from, Instant to, Predicate<RequestRecord> filter, Limits limits) {
			this.from = from;
			this.to = to;
			this.filter = filter;
			this.limits = limits;
		}

		private void add(Loaded loaded) {
			Optional<RecordKey> key = RecordKey.parse(loaded.key());
			if (loaded.batch().isEmpty()) {
				this.gaps.add(new RecordGap(key.map(RecordKey::gateway).orElse(""),
						key.map(RecordKey::incarnation).orElse(0L), this.from, this.to,
						RecordGap.Kind.OBJECT_UNREADABLE, 0));
				key.ifPresent((present) -> run(present.gateway(), present.incarnation()).put(present.sequence(),
						Span.UNKNOWN));
				return;
			}
			RecordBatch batch = loaded.batch().get();
			RecordBatch.Header header = batch.header();
			run(header.gateway(), header.incarnation()).put(header.sequence(),
					new Span(header.from(), header.to(), header.last()));
			if (header.to().isBefore(this.from) || !header.to().isBefore(this.to)) {
				return;
			}
			this.objects++;
			this.totals.add(header.totals());
			this.sampledOut += header.sampledOut();
			if (header.dropped() > 0) {
				this.gaps.add(new RecordGap(header.gateway(), header.incarnation(), header.from(), header.to(),
						RecordGap.Kind.DETAIL_DROPPED, header.dropped()));
			}
			for (RequestRecord record : batch.records()) {
				if (this.filter.test(record)) {
					keep(record);
				}
			}
		}

		private void keep(RequestRecord record) {
			if (this.records.size() < this.limits.records()) {
				this.records.add(record);
			}
			else {
				this.cut = true;
			}
		}

		private TreeMap<Long, Span> run(String gateway, long incarnation) {
			return this.runs.computeIfAbsent(new Run(gateway, incarnation), (run) -> new TreeMap<>());
		}

		private RecordedPeriod period(boolean moreObjects) {
			if (moreObjects) {
				this.gaps.add(new RecordGap("", 0, this.from, this.to, RecordGap.Kind.NOT_READ, 0));
			}
			else {
				this.runs.forEach(this::findGaps);
			}
			this.gaps.sort(Comparator.comparing(RecordGap::gateway).thenComparing(RecordGap::from));
			this.records.sort(Comparator.comparing(RequestRecord::arrived));
			int gateways = (int) this.runs.keySet().stream().map(Run::gateway).distinct().count();
			return new RecordedPeriod(this.from, this.to, this.objects, gateways, this.totals.totals(), this.sampledOut,
					this.gaps, this.records, this.cut);
		}

		private void findGaps(Run run, TreeMap<Long, Span> spans) {
			long expected = 0;
			Instant covered = this.from;
			for (var entry : spans.entrySet()) {
				Span span = entry.getValue();
				boolean missing = (expected > 0) ? entry.getKey() != expected
						: entry.getKey() > 1 && span.from().isAfter(this.from);
				if (missing) {
					gap(run, covered, span.from(), RecordGap.Kind.OBJECT_MISSING);
				}
				expected = entry.getKey() + 1;
				covered = span.to().isAfter(covered) ? span.to() : covered;
			}
			Span last = spans.lastEntry().getValue();
			if (!last.last() && covered.plus(SILENCE).isBefore(this.to)) {
				gap(run, covered, this.to, RecordGap.Kind.NO_FURTHER_OBJECT);
			}
		}

		private void gap(Run run, Instant start, Instant end, RecordGap.Kind kind) {
			this.gaps.add(new RecordGap(run.gateway(), run.incarnation(), start, end, kind, 0));
		}

	}

	private record Span(Instant from, Instant to, boolean last) {

		private static final Span UNKNOWN = new Span(Instant.EPOCH, Instant.EPOCH, false);

	}

}
