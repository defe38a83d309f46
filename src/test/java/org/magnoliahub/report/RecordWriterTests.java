package org.magnoliahub.report;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.store.FaultyObjectStore;
import org.magnoliahub.store.InMemoryObjectStore;
import org.magnoliahub.store.StoreFaults;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

import static org.assertj.core.api.Assertions.assertThat;

class RecordWriterTests {

	static final Instant START = Instant.parse("2026-12-03T23:50:00Z");

	private static final RecordReader.Limits ALL = new RecordReader.Limits(100_000, 1_000_000, "");

	private final TestScheduler scheduler = new TestScheduler();

	private final TimerService timers = SchedulerTimerService.virtual(this.scheduler);

	private final InMemoryObjectStore store = InMemoryObjectStore.of(this.timers, Duration.ofMillis(4));

	private final StoreFaults faults = StoreFaults.none();

	private final Random random = new Random(7);

	private final FaultyObjectStore faulty = FaultyObjectStore.of(this.store, this.faults, this.timers, this.random,
			Duration.ofSeconds(1));

	private int submitted;

	private Instant now() {
		return START.plusNanos(this.timers.nanoTime());
	}

	private RecordWriter writer(String gateway, long incarnation, RecordSettings settings) {
		RecordWriter writer = RecordWriter.of(gateway, incarnation, this.faulty, this.timers, this::now, this.random,
				settings, new SimpleMeterRegistry());
		writer.start();
		return writer;
	}

	private void submit(RecordWriter writer, int count) {
		for (int i = 0; i < count; i++) {
			this.submitted++;
			writer.record(record(this.submitted, now(), (this.submitted % 5 == 0) ? "not_run" : "complete"));
		}
	}

	static RequestRecord record(int number, Instant time, String outcome) {
		boolean complete = outcome.equals("complete");
		List<AttemptRecord> attempts = complete
				? List.of(new AttemptRecord("encode", "engine-0", 1, 1, 12, "completed", 0.01),
						new AttemptRecord("generate", "engine-1", 1, 3, 250, "completed", 0.5))
				: List.of();
		return new RequestRecord(new RequestId("gateway-a-" + number), "gateway-a", "hakodate", "report",
				(number % 2 == 0) ? "draft" : "lookup", time, complete ? 270 : 0, outcome,
				complete ? "" : "no_endpoint", complete ? "" : "no endpoint is usable", complete, attempts);
	}

	private RecordedPeriod read(Instant from, Instant to) {
		var result = RecordReader.of(this.store, Schedulers.trampoline()).read(from, to, (record) -> true, ALL).test();
		this.scheduler.advanceTimeBy(60, TimeUnit.SECONDS);
		return result.assertComplete().values().get(0);
	}

	/**
	 * Guards against records that are lost or counted twice when the store fails before
	 * or after the effect, answers late, or is down for longer than the buffer lasts.
	 */
	@Property(tries = 60, seed = "42")
	void everyRequestIsCountedOnceUnderStoreFaults(@ForAll @IntRange(min = 0, max = 9) int failTenths,
			@ForAll @IntRange(min = 0, max = 9) int lostTenths, @ForAll @IntRange(min = 0, max = 900) int outageSeconds,
			@ForAll @IntRange(min = 1, max = 40) int requestsPerSecond) {
		RecordSettings small = new RecordSettings(Duration.ofSeconds(10), Duration.ofSeconds(60), 50, 20, 400, 8);
		RecordWriter writer = writer("gateway-a", 1, small);
		this.faults.setFailBeforeProbability(failTenths / 10.0);
		this.faults.setLostResponseProbability(lostTenths / 10.0);
		for (int second = 0; second < 1_200; second++) {
			this.faults.setUnavailable(second >= 100 && second < 100 + outageSeconds);
			submit(writer, requestsPerSecond);
			this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		}
		assertThat(writer.unwritten().get()).hasSizeLessThanOrEqualTo(400);
		var closed = writer.close().test();
		this.faults.setFailBeforeProbability(0);
		this.faults.setLostResponseProbability(0);
		this.scheduler.advanceTimeBy(120, TimeUnit.SECONDS);
		closed.assertComplete();

		RecordedPeriod period = read(START, now().plusSeconds(1));
		long dropped = period.gaps().stream().mapToLong(RecordGap::records).sum();
		assertThat(period.totals().requests()).isEqualTo(this.submitted);
		assertThat(period.records().size() + period.sampledOut() + dropped).isEqualTo(this.submitted);
		assertThat(period.records()).extracting(RequestRecord::request).doesNotHaveDuplicates();
		assertThat(period.totalsIncomplete()).isFalse();
	}

	/**
	 * Guards against requests before midnight that count for the day after.
	 */
	@Test
	void objectsDoNotSpanTwoDays() {
		RecordWriter writer = writer("gateway-a", 1, RecordSettings.defaults());
		this.scheduler.advanceTimeBy(595, TimeUnit.SECONDS);
		submit(writer, 3);
		this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
		submit(writer, 4);
		writer.close().test();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		Instant midnight = Instant.parse("2026-12-04T00:00:00Z");
		assertThat(read(midnight.minusSeconds(86_400), midnight).totals().requests()).isEqualTo(3);
		RecordedPeriod today = read(midnight, now());
		assertThat(today.totals().requests()).isEqualTo(4);
		assertThat(today.gaps()).isEmpty();
	}

	/**
	 * Guards against gaps that look like quiet times: a process that died, a missing and
	 * an unreadable object.
	 */
	@Test
	void gapsAreFound() {
		RecordWriter lost = writer("gateway-a", 1, RecordSettings.defaults());
		RecordWriter dead = writer("gateway-b", 2, RecordSettings.defaults());
		RecordWriter idle = writer("gateway-c", 3, RecordSettings.defaults());
		this.scheduler.advanceTimeBy(25, TimeUnit.SECONDS);
		submit(lost, 1);
		submit(dead, 1);
		dead.close().test();
		this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
		submit(lost, 1);
		this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
		submit(lost, 1);
		this.scheduler.advanceTimeBy(400, TimeUnit.SECONDS);
		idle.close().test();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		assertThat(read(START, now()).gaps()).isEmpty();

		String lastOfDead = key("gateway-b", 2);
		String second = key("gateway-a", 2);
		String third = key("gateway-a", 3);
		this.store.delete(lastOfDead).subscribe();
		this.store.delete(second).subscribe();
		this.store
			.put(third, "{\"gateway\"".getBytes(java.nio.charset.StandardCharsets.UTF_8),
					new org.magnoliahub.store.PutCondition.Always())
			.subscribe();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		RecordedPeriod period = read(START, now());
		assertThat(period.gaps()).extracting((gap) -> gap.gateway() + " " + gap.kind())
			.containsExactlyInAnyOrder("gateway-a OBJECT_MISSING", "gateway-a OBJECT_UNREADABLE",
					"gateway-b NO_FURTHER_OBJECT");
		assertThat(period.totalsIncomplete()).isTrue();
	}

	private String key(String gateway, long sequence) {
		var keys = this.store.list("records/", "", 1_000).test();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		return keys.values()
			.get(0)
			.stream()
			.filter((key) -> key.contains(gateway + "/") && key.endsWith(String.format("%010d.jsonl", sequence)))
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Guards against a store that grows without bound, and against a cleanup that removes
	 * data of the daily report.
	 */
	@Test
	void cleanupRemovesOldDaysInBoundedSteps() {
		RecordWriter writer = writer("gateway-a", 1, RecordSettings.defaults());
		this.scheduler.advanceTimeBy(5, TimeUnit.DAYS);
		writer.close().test();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		RecordCleanup cleanup = RecordCleanup.of(this.store, this::now, 2);
		var first = cleanup.run(5).test();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		first.assertValue(5);
		for (int i = 0; i < 10; i++) {
			cleanup.run(1_000).test();
			this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
		}
		var left = this.store.list("records/", "", 1).test();
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		assertThat(left.values().get(0)).singleElement().asString().startsWith("records/2026-12-06/00-0");
	}

	/**
	 * Keeps the figures of the report page: bytes at the target rate of one gateway,
	 * 5,200 requests a second over 360 gateways.
	 */
	@Test
	void bytesAtTargetRate() {
		RecordSettings target = RecordSettings.defaults().withCompleteKept(10);
		for (RecordSettings settings : List.of(RecordSettings.defaults(), target)) {
			RecordWriter writer = writer("gateway-" + settings.completeKept(), 1, settings);
			for (int second = 0; second < 10; second++) {
				for (int i = 0; i < 14; i++) {
					this.submitted++;
					writer.record(record(this.submitted, now(), (i == 0 && second < 3) ? "not_run" : "complete"));
				}
				this.scheduler.advanceTimeBy(999, TimeUnit.MILLISECONDS);
			}
			this.scheduler.advanceTimeBy(2, TimeUnit.SECONDS);
			var object = this.store.get(key("gateway-" + settings.completeKept(), 2)).test();
			this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
			RecordBatch batch = RecordCodec.decode(object.values().get(0).orElseThrow().content());
			int bytes = object.values().get(0).orElseThrow().content().length;
			int headerBytes = RecordCodec.encode(new RecordBatch(batch.header(), List.of())).length;
			System.out.printf(
					"kept %d of %d requests: object %d bytes, header %d bytes, %.0f bytes per record, "
							+ "%.0f bytes/s%n",
					batch.records().size(), batch.header().requests(), bytes, headerBytes,
					(bytes - headerBytes) / (double) batch.records().size(), bytes / 10.0);
			assertThat(batch.header().requests()).isEqualTo(140);
			assertThat(bytes).isLessThan(100_000);
		}
	}

}
