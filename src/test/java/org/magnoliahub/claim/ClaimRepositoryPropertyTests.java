package org.magnoliahub.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.store.FaultyTableStore;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreFaults;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two owners of the same key, the loss of an acknowledged update and an
 * update based on a stale revision. Several repositories compete for a few keys while the
 * store fails at random, and all results are compared with the recorded history of the
 * store.
 */
class ClaimRepositoryPropertyTests {

	@Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
	void resultsMatchHistoryOfStore(@ForAll long seed) {
		new RandomRun(seed).execute();
	}

	/**
	 * One random sequence of operations and store faults.
	 */
	private static final class RandomRun {

		private static final int STEPS = 120;

		private static final Duration TIMEOUT = Duration.ofMillis(200);

		private final Random random;

		private final TestScheduler scheduler = new TestScheduler();

		private final TimerService timers = SchedulerTimerService.virtual(this.scheduler);

		private final RecordingStore store = new RecordingStore(
				InMemoryTableStore.of(this.timers, Duration.ofMillis(4)));

		private final StoreFaults faults = StoreFaults.none();

		private final List<ClaimRepository> repositories = new ArrayList<>();

		private final List<StoredClaim> knownClaims = new ArrayList<>();

		/** Expected revision of each content that was submitted, 0 for an insert. */
		private final Map<String, Long> submitted = new HashMap<>();

		private final Map<String, Long> acknowledged = new HashMap<>();

		private final Set<String> reportedWithoutEffect = new HashSet<>();

		/**
		 * Claim that was returned with the conflict of a write, by the content of the
		 * write.
		 */
		private final Map<String, StoredClaim> conflicts = new HashMap<>();

		private final List<String> acquiredKeys = new ArrayList<>();

		private int pending;

		RandomRun(long seed) {
			this.random = new Random(seed);
			TableStore faulty = FaultyTableStore.of(this.store, this.faults, this.timers,
					new Random(this.random.nextLong()), TIMEOUT);
			for (int index = 0; index < 3; index++) {
				this.repositories.add(ClaimRepository.of(faulty, this.timers, new Random(this.random.nextLong()),
						ClaimSettings.defaults()));
			}
		}

		void execute() {
			for (int step = 0; step < STEPS; step++) {
				if (this.random.nextInt(10) == 0) {
					changeFaults();
				}
				if (this.knownClaims.isEmpty() || this.random.nextInt(3) == 0) {
					acquire(step);
				}
				else {
					update(step);
				}
				this.scheduler.advanceTimeBy(this.random.nextInt(20), TimeUnit.MILLISECONDS);
			}
			this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
			assertThat(this.pending).as("calls without a result").isZero();
			check();
		}

		private void changeFaults() {
			this.faults.setUnavailable(this.random.nextInt(5) == 0);
			this.faults.setExtraLatency(Duration.ofMillis(this.random.nextInt(3) * 150L));
			this.faults.setFailBeforeProbability(this.random.nextInt(3) * 0.2);
			this.faults.setLostResponseProbability(this.random.nextInt(3) * 0.3);
		}

		private Duration budget() {
			return Duration.ofMillis(50 + this.random.nextInt(2000));
		}

		private ClaimRepository randomRepository() {
			return this.repositories.get(this.random.nextInt(this.repositories.size()));
		}

		private void acquire(int step) {
			Claim claim = new Claim("kushiro", "key-" + this.random.nextInt(8), "hash", "token-" + step,
					new RequestId("request"), new ClaimPhase.Open());
			String content = ClaimCodec.encode(claim);
			this.submitted.put(content, ClaimWrite.ABSENT);
			this.pending++;
			randomRepository().acquire(claim, budget()).subscribe((result) -> {
				this.pending--;
				if (result instanceof AcquireResult.Acquired acquired) {
					this.acquiredKeys.add(claim.idempotencyKey());
					acknowledge(acquired.stored());
				}
				else if (result instanceof AcquireResult.Existing existing) {
					this.knownClaims.add(existing.stored());
					this.conflicts.put(content, existing.stored());
				}
				else if (result instanceof AcquireResult.Unavailable unavailable && !unavailable.effectPossible()) {
					this.reportedWithoutEffect.add(content);
				}
			});
		}

		private void update(int step) {
			StoredClaim base = this.knownClaims.get(this.random.nextInt(this.knownClaims.size()));
			Claim claim = base.claim()
				.withOwner("token-" + step)
				.withPhase(new ClaimPhase.Assigned(0, "endpoint", 1, step + 1, 0, 1));
			String content = ClaimCodec.encode(claim);
			this.submitted.put(content, base.revision());
			this.pending++;
			randomRepository().update(claim, base.revision(), budget()).subscribe((result) -> {
				this.pending--;
				if (result instanceof UpdateResult.Updated updated) {
					acknowledge(updated.stored());
				}
				else if (result instanceof UpdateResult.Conflict conflict) {
					this.knownClaims.add(conflict.current());
					this.conflicts.put(content, conflict.current());
				}
				else if (result instanceof UpdateResult.Unavailable unavailable && !unavailable.effectPossible()) {
					this.reportedWithoutEffect.add(content);
				}
			});
		}

		private void acknowledge(StoredClaim stored) {
			this.knownClaims.add(stored);
			this.acknowledged.put(ClaimCodec.encode(stored.claim()), stored.revision());
		}

		private void check() {
			Map<String, Long> written = new HashMap<>();
			this.store.history.forEach((key, rows) -> {
				long previous = ClaimWrite.ABSENT;
				for (Row row : rows) {
					assertThat(this.submitted.get(row.value())).as("revision that %s replaces", row)
						.isEqualTo(previous);
					previous = row.revision();
					written.put(row.value(), row.revision());
				}
			});
			assertThat(this.acquiredKeys).as("keys by acquired claim").doesNotHaveDuplicates();
			assertThat(written).as("acknowledged writes").containsAllEntriesOf(this.acknowledged);
			this.conflicts.forEach((content, current) -> {
				assertThat(written).as("row returned with a conflict")
					.containsEntry(ClaimCodec.encode(current.claim()), current.revision());
				// A write whose response was lost may have been replaced since.
				assertThat(written.getOrDefault(content, ClaimWrite.ABSENT)).as("revision of a write with a conflict")
					.isLessThan(current.revision());
			});
			assertThat(written.keySet()).as("writes reported without effect")
				.doesNotContainAnyElementsOf(this.reportedWithoutEffect);
		}

	}

	/**
	 * Records every claim row that is written.
	 */
	private static final class RecordingStore implements TableStore {

		private final TableStore delegate;

		private final Map<RowKey, List<Row>> history = new HashMap<>();

		RecordingStore(TableStore delegate) {
			this.delegate = delegate;
		}

		@Override
		public Single<Optional<Row>> read(RowKey key) {
			return this.delegate.read(key);
		}

		@Override
		public Single<List<Row>> scan(String table, String fromKey, int limit) {
			return this.delegate.scan(table, fromKey, limit);
		}

		@Override
		public Single<TransactionResult> commit(Transaction transaction) {
			return this.delegate.commit(transaction).doOnSuccess((result) -> {
				if (result instanceof TransactionResult.Committed committed) {
					transaction.writes().forEach((write) -> record(write, committed.revision()));
				}
			});
		}

		private void record(Write write, long revision) {
			if (write instanceof Write.Put put && put.key().table().equals(ClaimTables.CLAIM)) {
				this.history.computeIfAbsent(put.key(), (key) -> new ArrayList<>())
					.add(new Row(put.key(), put.value(), revision));
			}
		}

	}

}
