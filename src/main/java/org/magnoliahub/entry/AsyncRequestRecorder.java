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
 * Writes the records of ended requests to the store, for the daily report. The event loop
 * only adds them to a bounded queue; a background thread aggregates, encodes and writes
 * them. The thread starts its work after one interval, because loading the classes it
 * needs would delay the first responses.
 */
final class AsyncRequestRecorder implements RequestRecorder {

	private static final int QUEUE_CAPACITY = 10_000;

	private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(250);

	private static final int RECORDS_PER_OBJECT = 1_000;

	private static final int MAXIMUM_PENDING_OBJECTS = 10;

	private final String gateway;

	private final long incarnation;

	private final ObjectStore store;

	private final Duration interval;

	private final Queue<RequestRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread created = new Thread(task, "records");
		created.setDaemon(true);
		return created;
	});

	private volatile @Nullable RecordWriter writer;

	/**
	 * Creates a recorder that is not started.
	 * @param gateway the name of this gateway
	 * @param incarnation a positive number that differs between runs of the gateway
	 * @param store the store that receives the records
	 * @param interval the time between two objects, and before the first one
	 */
	AsyncRequestRecorder(String gateway, long incarnation, ObjectStore store, Duration interval) {
		this.gateway = gateway;
		this.incarnation = incarnation;
		this.store = store;
		this.interval = interval;
	}

	void start() {
		long millis = this.interval.toMillis();
		this.executor.schedule(() -> {
			try {
				startWriter();
			}
			catch (RuntimeException ex) {
				// The executor would swallow the exception.
				System.err.println("magnoliahub: error: records cannot be written: " + ex);
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void startWriter() {
		RecordSettings settings = new RecordSettings(this.interval, this.interval, RECORDS_PER_OBJECT, 0,
				RECORDS_PER_OBJECT, MAXIMUM_PENDING_OBJECTS);
		RecordWriter newWriter = RecordWriter.of(this.gateway, this.incarnation, this.store,
				SchedulerTimerService.of(Schedulers.from(this.executor), System::nanoTime), Instant::now,
				new SplittableRandom(), settings, new SimpleMeterRegistry());
		this.writer = newWriter;
		writeQueued(newWriter);
		newWriter.start();
		this.executor.scheduleWithFixedDelay(() -> writeQueued(newWriter), 1, 1, TimeUnit.SECONDS);
	}

	private void writeQueued(RecordWriter target) {
		RequestRecord next = this.queue.poll();
		while (next != null) {
			target.record(next);
			next = this.queue.poll();
		}
	}

	@Override
	public void record(RequestRecord record) {
		if (!this.queue.offer(record)) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Writes the most recent objects again, because the store was restored from an older
	 * backup.
	 * @param objects receives the number of objects, on the background thread
	 */
	void rewriteRecentObjects(IntConsumer objects) {
		RecordWriter currentWriter = this.writer;
		if (currentWriter != null) {
			this.executor.execute(() -> objects.accept(currentWriter.writeAgain()));
		}
	}

	/**
	 * Returns the number of records that were dropped because the queue was full.
	 * @return the number of requests
	 */
	long droppedCount() {
		return this.dropped.get();
	}

	/**
	 * Returns the number of queued records.
	 * @return the number of requests
	 */
	int queuedCount() {
		return this.queue.size();
	}

	/**
	 * Writes the remaining records, marked as the end of this run, if the store accepts
	 * them within a short time. A run that ends before its first interval writes no
	 * object.
	 * @return why records are lost, or {@code null} if everything was written
	 */
	@Nullable String close() {
		RecordWriter currentWriter = this.writer;
		if (currentWriter == null) {
			this.executor.shutdownNow();
			return this.queue.isEmpty() ? null : "the gateway stopped before its first record interval";
		}
		boolean written = Completable.defer(() -> {
			writeQueued(currentWriter);
			return currentWriter.close();
		}).subscribeOn(Schedulers.from(this.executor)).blockingAwait(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		return written ? null : "the store did not accept the records in time";
	}

}
