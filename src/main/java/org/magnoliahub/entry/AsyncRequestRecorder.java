package org.magnoliahub.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.gateway.RequestRecorder;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.report.RecordSettings;
import org.magnoliahub.report.RecordWriter;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.time.SchedulerTimerService;

/**
 * Brings the records of ended requests into the store, for the daily report. A thread of
 * its own sums them up, encodes and writes them; the event loop only puts them into a
 * bounded queue. The thread begins its work some time after the start, because loading
 * what it needs would slow the first answers down.
 */
final class AsyncRequestRecorder implements RequestRecorder {

	private static final int MAXIMUM_WAITING = 10_000;

	private static final Duration CLOSE_LIMIT = Duration.ofMillis(250);

	private static final int KEPT_RECORDS = 1_000;

	private static final int PENDING_OBJECTS = 10;

	private final String gateway;

	private final long incarnation;

	private final ObjectStore store;

	private final Duration interval;

	private final Queue<RequestRecord> queuedCount = new ArrayBlockingQueue<>(MAXIMUM_WAITING);

	private final AtomicLong droppedCount = new AtomicLong();

	private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread created = new Thread(task, "records");
		created.setDaemon(true);
		return created;
	});

	private volatile @Nullable RecordWriter writer;

	/**
	 * Creates records that are not written yet.
	 * @param gateway name of this gateway
	 * @param incarnation number that differs between runs of the gateway, positive
	 * @param store where records go
	 * @param interval time between two objects, and before the first one
	 */
	AsyncRequestRecorder(String gateway, long incarnation, ObjectStore store, Duration interval) {
		this.gateway = gateway;
		this.incarnation = incarnation;
		this.store = store;
		this.interval = interval;
	}

	void start() {
		long millis = this.interval.toMillis();
		this.thread.schedule(() -> {
			try {
				begin();
			}
			catch (RuntimeException ex) {
				// The executor would keep the failure to itself.
				System.err.println("magnoliahub: error: records cannot be written: " + ex);
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void begin() {
		RecordSettings settings = new RecordSettings(this.interval, this.interval, KEPT_RECORDS, 0, KEPT_RECORDS,
				PENDING_OBJECTS);
		RecordWriter created = RecordWriter.of(this.gateway, this.incarnation, this.store,
				SchedulerTimerService.of(Schedulers.from(this.thread), System::nanoTime), Instant::now,
				new SplittableRandom(), settings, new SimpleMeterRegistry());
		this.writer = created;
		drain(created);
		created.start();
		this.thread.scheduleWithFixedDelay(() -> drain(created), 1, 1, TimeUnit.SECONDS);
	}

	private void drain(RecordWriter target) {
		RequestRecord next = this.queuedCount.poll();
		while (next != null) {
			target.record(next);
			next = this.queuedCount.poll();
		}
	}

	@Override
	public void record(RequestRecord record) {
		if (!this.queuedCount.offer(record)) {
			this.droppedCount.incrementAndGet();
		}
	}

	/**
	 * Writes the last objects again, because the store came back from an older copy.
	 * @param objects receives their number on the thread of the records
	 */
	void rewriteRecentObjects(IntConsumer objects) {
		RecordWriter present = this.writer;
		if (present != null) {
			this.thread.execute(() -> objects.accept(present.writeAgain()));
		}
	}

	/**
	 * Returns how many records nobody counted because the queue was full.
	 * @return number of requests
	 */
	long droppedCount() {
		return this.droppedCount.get();
	}

	/**
	 * Returns how many records wait for the thread.
	 * @return number of requests
	 */
	int queuedCount() {
		return this.queuedCount.size();
	}

	/**
	 * Writes what is left, marked as the end of this run, if the store takes it at once.
	 * A run that ends before its first interval leaves no object.
	 * @return why requests are not counted, or {@code null} if everything was written
	 */
	@Nullable String close() {
		RecordWriter present = this.writer;
		if (present == null) {
			this.thread.shutdownNow();
			return this.queuedCount.isEmpty() ? null : "the gateway ended before its first interval";
		}
		boolean written = Completable.defer(() -> {
			drain(present);
			return present.close();
		}).subscribeOn(Schedulers.from(this.thread)).blockingAwait(CLOSE_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
		return written ? null : "the store did not take them in time";
	}

}
