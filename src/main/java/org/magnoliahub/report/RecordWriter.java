package org.magnoliahub.report;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.magnoliahub.gateway.RequestRecorder;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.time.TimerService;

/**
 * Collects records of requests and writes them to the object store in batches. Every
 * request is counted exactly in the totals of one object; detail is dropped, and counted
 * as dropped, when the store does not keep up. All methods run on the event loop.
 */
public final class RecordWriter implements RequestRecorder {

	private static final Duration SHORTEST_RETRY = Duration.ofMillis(500);

	private static final Duration LONGEST_RETRY = Duration.ofSeconds(30);

	private static final int MAXIMUM_DETAIL = 300;

	/** Age up to which objects are kept, because the store may lose them again. */
	private static final long KEPT_MILLIS = 60_000;

	private static final int MAXIMUM_KEPT = 16;

	private final String gateway;

	private final long incarnation;

	private final ObjectStore store;

	private final TimerService timers;

	private final Supplier<Instant> wallTime;

	private final RandomGenerator random;

	private final RecordSettings settings;

	private final Deque<Pending> pending = new ArrayDeque<>();

	private final Deque<Kept> kept = new ArrayDeque<>();

	private final Counter written;

	private final Counter dropped;

	private final Counter failures;

	private Open open;

	private int pendingRecords;

	private long sequence;

	private long sealedMillis;

	private Duration retryPause = SHORTEST_RETRY;

	private boolean writing;

	private Disposable ticks = Disposable.disposed();

	private CompletableSubject flushed = CompletableSubject.create();

	private RecordWriter(String gateway, long incarnation, ObjectStore store, TimerService timers,
			Supplier<Instant> wallTime, RandomGenerator random, RecordSettings settings, MeterRegistry meters) {
		this.gateway = gateway;
		this.incarnation = incarnation;
		this.store = store;
		this.timers = timers;
		this.wallTime = wallTime;
		this.random = random;
		this.settings = settings;
		this.written = meters.counter("magnoliahub.records.objects.written");
		this.dropped = meters.counter("magnoliahub.records.dropped");
		this.failures = meters.counter("magnoliahub.records.writes.failed");
		meters.gauge("magnoliahub.records.objects.pending", this, (writer) -> writer.pending.size());
		this.open = new Open(wallTime.get());
		this.sealedMillis = timers.milliTime();
	}

	/**
	 * Creates a writer. Objects are written after {@link #start()}.
	 * @param gateway name of the gateway
	 * @param incarnation number that differs between runs of the gateway, positive
	 * @param store where objects go
	 * @param timers time
	 * @param wallTime wall time for the objects
	 * @param random jitter of retries and choice of the sample
	 * @param settings the bounds
	 * @param meters counters
	 * @return the writer
	 */
	public static RecordWriter of(String gateway, long incarnation, ObjectStore store, TimerService timers,
			Supplier<Instant> wallTime, RandomGenerator random, RecordSettings settings, MeterRegistry meters) {
		return new RecordWriter(gateway, incarnation, store, timers, wallTime, random, settings, meters);
	}

	/**
	 * Starts the regular writes. The first object is written at once, so that a run that
	 * ends early is known.
	 */
	public void start() {
		seal(false);
		this.ticks = this.timers.every(this.settings.flushInterval()).subscribe((tick) -> flushIfDue());
	}

	@Override
	public void record(RequestRecord record) {
		Instant now = this.wallTime.get();
		if (this.open.requests > 0 && !RecordKey.dayOf(now).equals(RecordKey.dayOf(this.open.latest))) {
			seal(false);
		}
		this.open.latest = now;
		this.open.add(limited(record));
		if (this.open.requests >= this.settings.batchRecords() && hasRoom()) {
			seal(false);
		}
	}

	/**
	 * Ends the run: writes what is left, marked as the last object.
	 * @return completes when all objects are written; it does not end while the store
	 * fails
	 */
	public Completable close() {
		this.ticks.dispose();
		this.flushed = CompletableSubject.create();
		seal(true);
		return this.flushed;
	}

	/**
	 * Returns the records that are not in the store yet.
	 * @return decodes the records, on any thread
	 */
	public Supplier<List<RequestRecord>> unwritten() {
		List<RequestRecord> records = new ArrayList<>(this.open.sample);
		records.addAll(this.open.notable);
		List<Pending> objects = List.copyOf(this.pending);
		return () -> {
			objects.forEach((object) -> records.addAll(RecordCodec.decode(object.content()).records()));
			return records;
		};
	}

	/**
	 * Writes the last objects again, because the store came back from an older copy.
	 * Objects that it still has stay.
	 * @return number of objects
	 */
	public int writeAgain() {
		forgetOld();
		int objects = this.kept.size();
		for (Kept object : this.kept) {
			this.pending.add(object.object());
			this.pendingRecords += object.object().records();
		}
		this.kept.clear();
		if (objects > 0) {
			writeNext();
		}
		return objects;
	}

	private void forgetOld() {
		long oldest = this.timers.milliTime() - KEPT_MILLIS;
		while (!this.kept.isEmpty() && (this.kept.peek().writtenMillis() < oldest || this.kept.size() > MAXIMUM_KEPT)) {
			this.kept.poll();
		}
	}

	private void flushIfDue() {
		boolean heartbeat = this.timers.milliTime() - this.sealedMillis >= this.settings.heartbeatInterval().toMillis();
		if ((this.open.requests > 0 || heartbeat) && hasRoom()) {
			seal(false);
		}
	}

	// Without room the open batch goes on, so its totals stay exact and only detail is
	// dropped.
	private boolean hasRoom() {
		return this.pending.size() < this.settings.pendingObjects();
	}

	private void seal(boolean last) {
		Open sealed = this.open;
		Instant now = sealed.end(this.wallTime.get());
		this.open = new Open(now);
		this.sealedMillis = this.timers.milliTime();
		this.sequence++;
		List<RequestRecord> records = new ArrayList<>(sealed.notable);
		records.addAll(sealed.sample);
		RecordBatch.Header header = new RecordBatch.Header(this.gateway, this.incarnation, this.sequence, sealed.from,
				now, sealed.requests, records.size(), sealed.sampledOut, sealed.dropped, last, sealed.totals.totals());
		this.pending.add(new Pending(RecordKey.of(header), RecordCodec.encode(new RecordBatch(header, records)),
				records.size()));
		this.pendingRecords += records.size();
		writeNext();
	}

	private void writeNext() {
		Pending next = this.pending.peek();
		if (next == null) {
			this.flushed.onComplete();
			return;
		}
		if (this.writing) {
			return;
		}
		this.writing = true;
		// An object that is present was written by an attempt whose answer was lost: no
		// other process uses this incarnation.
		this.store.put(next.key(), next.content(), new PutCondition.IfAbsent())
			.subscribe((entityTag) -> written(next), (failure) -> failed());
	}

	private void written(Pending object) {
		this.writing = false;
		this.retryPause = SHORTEST_RETRY;
		this.pending.remove();
		this.pendingRecords -= object.records();
		this.written.increment();
		this.kept.add(new Kept(object, this.timers.milliTime()));
		forgetOld();
		writeNext();
	}

	private void failed() {
		this.failures.increment();
		Duration pause = this.retryPause.plusMillis(this.random.nextLong(this.retryPause.toMillis()));
		Duration doubled = this.retryPause.multipliedBy(2);
		this.retryPause = (doubled.compareTo(LONGEST_RETRY) < 0) ? doubled : LONGEST_RETRY;
		this.timers.after(pause).subscribe(() -> {
			this.writing = false;
			writeNext();
		});
	}

	private static RequestRecord limited(RequestRecord record) {
		return new RequestRecord(record.request(), record.gateway(), limited(record.workspace()),
				limited(record.pipeline()), limited(record.requestClass()), record.arrived(), record.totalMillis(),
				record.outcome(), record.reason(), cut(record.detail(), MAXIMUM_DETAIL), record.withinDeadline(),
				record.attempts());
	}

	private static String limited(String name) {
		return cut(name, TotalsCollector.MAXIMUM_NAME + 1);
	}

	private static String cut(String text, int length) {
		return (text.length() <= length) ? text : text.substring(0, length);
	}

	private record Pending(String key, byte[] content, int records) {

	}

	private record Kept(Pending object, long writtenMillis) {

	}

	/**
	 * The requests since the last object.
	 */
	private final class Open {

		private final Instant from;

		private final TotalsCollector totals = new TotalsCollector();

		private final List<RequestRecord> notable = new ArrayList<>();

		private final List<RequestRecord> sample = new ArrayList<>();

		private Instant latest;

		private long requests;

		private long ordinary;

		private long sampledOut;

		private long dropped;

		private Open(Instant from) {
			this.from = from;
			this.latest = from;
		}

		// An object belongs to one day, so that the totals of a day are exact.
		private Instant end(Instant now) {
			LocalDate day = RecordKey.dayOf(this.latest);
			return (this.requests == 0 || !day.isBefore(RecordKey.dayOf(now))) ? now
					: day.plusDays(1).atStartOfDay(ZoneOffset.UTC).toInstant().minusMillis(1);
		}

		private void add(RequestRecord record) {
			this.requests++;
			this.totals.add(record);
			boolean full = RecordWriter.this.pendingRecords + this.notable.size()
					+ this.sample.size() >= RecordWriter.this.settings.pendingRecords();
			if (record.withinDeadline() && record.attempts().stream().allMatch((attempt) -> attempt.attempt() == 1)) {
				addToSample(record, full);
			}
			else if (full) {
				this.dropped++;
				RecordWriter.this.dropped.increment();
			}
			else {
				this.notable.add(record);
			}
		}

		// Reservoir sampling: each ordinary request has the same chance to be kept.
		private void addToSample(RequestRecord record, boolean full) {
			this.ordinary++;
			int size = RecordWriter.this.settings.completeKept();
			if (this.sample.size() < size) {
				if (full) {
					this.dropped++;
					RecordWriter.this.dropped.increment();
				}
				else {
					this.sample.add(record);
				}
				return;
			}
			this.sampledOut++;
			long place = RecordWriter.this.random.nextLong(this.ordinary);
			if (place < size) {
				this.sample.set((int) place, record);
			}
		}

	}

}
