package org.magnoliahub.claim;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.HdrHistogram.Histogram;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.store.RateLimitedTableStore;
import org.magnoliahub.time.SchedulerTimerService;

/**
 * Measures in virtual time how many claims per second can be acquired and then finished
 * with a store that is limited to 300 transactions per second.
 */
public final class GroupCommitMeasurement {

	private static final int TRANSACTIONS_PER_SECOND = 300;

	private static final int SECONDS = 10;

	private static final Duration BUDGET = Duration.ofSeconds(1);

	private static final int[] OFFERED_PER_SECOND = { 100, 140, 200, 1000, 5000, 10_000, 15_000 };

	private final TestScheduler scheduler = new TestScheduler();

	private final SchedulerTimerService timers = SchedulerTimerService.virtual(this.scheduler);

	private final Histogram latencyMicros = new Histogram(2);

	private final ClaimRepository[] repositories;

	private int finished;

	private GroupCommitMeasurement(int gateways, int inFlight, int claimsPerTransaction) {
		RateLimitedTableStore store = RateLimitedTableStore.of(InMemoryTableStore.of(this.timers, Duration.ofMillis(4)),
				this.timers, TRANSACTIONS_PER_SECOND);
		ClaimSettings settings = ClaimSettings.defaults().withLimits(inFlight, claimsPerTransaction);
		this.repositories = new ClaimRepository[gateways];
		for (int index = 0; index < gateways; index++) {
			this.repositories[index] = ClaimRepository.of(store, this.timers, new Random(index), settings);
		}
	}

	/**
	 * Runs all combinations of settings and prints one line for each.
	 * @param arguments unused
	 */
	public static void main(String[] arguments) {
		System.out.println("gateways  in flight  claims/transaction  offered/s  finished/s  acquire p99 ms");
		for (int gateways : new int[] { 3, 30, 360 }) {
			measure(gateways, 4, 1);
			measure(gateways, 4, 100);
		}
	}

	private static void measure(int gateways, int inFlight, int claimsPerTransaction) {
		for (int offered : OFFERED_PER_SECOND) {
			GroupCommitMeasurement measurement = new GroupCommitMeasurement(gateways, inFlight, claimsPerTransaction);
			measurement.run(offered);
			System.out.printf("%8d  %9d  %18d  %9d  %10d  %14.1f%n", gateways, inFlight, claimsPerTransaction, offered,
					measurement.finished / SECONDS, measurement.latencyMicros.getValueAtPercentile(99) / 1000.0);
		}
	}

	private void run(int offeredPerSecond) {
		long intervalNanos = Duration.ofSeconds(1).toNanos() / offeredPerSecond;
		for (int index = 0; index < offeredPerSecond * SECONDS; index++) {
			offer(index);
			this.scheduler.advanceTimeBy(intervalNanos, TimeUnit.NANOSECONDS);
		}
	}

	private void offer(int index) {
		ClaimRepository repository = this.repositories[index % this.repositories.length];
		Claim claim = new Claim("kushiro", "key-" + index, "hash", "token-" + index, new RequestId("request-" + index),
				new ClaimPhase.Assigned(0, "endpoint", 1, 1, 0, 1));
		long start = this.timers.nanoTime();
		repository.acquire(claim, BUDGET).subscribe((result) -> {
			if (result instanceof AcquireResult.Acquired acquired) {
				this.latencyMicros.recordValue((this.timers.nanoTime() - start) / 1000);
				finish(repository, acquired.stored());
			}
		});
	}

	private void finish(ClaimRepository repository, StoredClaim stored) {
		Claim claim = stored.claim().withPhase(new ClaimPhase.Finished(new Outcome.Complete("answer")));
		repository.update(claim, stored.revision(), BUDGET).subscribe((result) -> {
			if (result instanceof UpdateResult.Updated) {
				this.finished++;
			}
		});
	}

}
