package org.magnoliahub.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;
import org.magnoliahub.time.TimerService;

/**
 * In-memory table store. Faults are injected per {@link Connection}.
 */
public final class FakeTableStore implements TableStore {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Set<String> auditKeys = new HashSet<>();

	private long revision;

	/** Whether a row of an audit table was written more than once. */
	public boolean auditRowRewritten;

	private static String path(RowKey key) {
		return key.table() + "/" + key.key();
	}

	@Override
	public Single<Optional<Row>> read(RowKey key) {
		return Single.fromCallable(() -> Optional.ofNullable(this.rows.get(path(key))));
	}

	@Override
	public Single<List<Row>> scan(String table, String fromKey, int limit) {
		return Single.fromCallable(() -> this.rows.tailMap(table + "/" + fromKey)
			.values()
			.stream()
			.filter((row) -> row.key().table().equals(table))
			.limit(limit)
			.toList());
	}

	@Override
	public Single<TransactionResult> commit(Transaction transaction) {
		return Single.fromCallable(() -> execute(transaction));
	}

	private TransactionResult execute(Transaction transaction) {
		if (!transaction.conditions().stream().allMatch(this::holds)) {
			List<Row> current = new ArrayList<>();
			transaction.conditions()
				.forEach((condition) -> Optional.ofNullable(this.rows.get(path(condition.key())))
					.ifPresent(current::add));
			return new TransactionResult.Conflict(current);
		}
		this.revision++;
		for (Write write : transaction.writes()) {
			String path = path(write.key());
			if (write.key().table().endsWith("_audit") && !this.auditKeys.add(path)) {
				this.auditRowRewritten = true;
			}
			if (write instanceof Write.Put put) {
				this.rows.put(path, new Row(put.key(), put.value(), this.revision));
			}
			else {
				this.rows.remove(path);
			}
		}
		return new TransactionResult.Committed(this.revision);
	}

	private boolean holds(Condition condition) {
		Row row = this.rows.get(path(condition.key()));
		if (condition instanceof Condition.RevisionEquals equals) {
			return row != null && row.revision() == equals.revision();
		}
		return row == null;
	}

	/**
	 * Connection of one process to the store, with faults independent of other
	 * connections.
	 */
	public static final class Connection implements TableStore {

		private static final int MAXIMUM_LATENCY_MILLIS = 40;

		private static final int MAXIMUM_WRITE_DELAY_MILLIS = 300;

		private final TableStore store;

		private final TimerService timers;

		private final RandomGenerator random;

		/** Whether all calls fail without effect. */
		public boolean down;

		/** Whether calls get no response and writes have no effect. */
		public boolean unresponsive;

		/**
		 * Probability that the response to a write is lost although the write takes
		 * effect, immediately or after a delay.
		 */
		public double lostResponseProbability;

		/** Delay of the response to the next call; reset to zero by that call. */
		public Duration nextResponseDelay = Duration.ZERO;

		public Connection(TableStore store, TimerService timers, RandomGenerator random) {
			this.store = store;
			this.timers = timers;
			this.random = random;
		}

		@Override
		public Single<Optional<Row>> read(RowKey key) {
			return call(this.store.read(key));
		}

		@Override
		public Single<List<Row>> scan(String table, String fromKey, int limit) {
			return call(this.store.scan(table, fromKey, limit));
		}

		@Override
		public Single<TransactionResult> commit(Transaction transaction) {
			return Single.defer(() -> {
				if (this.random.nextDouble() >= this.lostResponseProbability || this.down || this.unresponsive) {
					return call(this.store.commit(transaction));
				}
				if (this.random.nextBoolean()) {
					execute(transaction);
				}
				else {
					delay(MAXIMUM_WRITE_DELAY_MILLIS).subscribe(() -> execute(transaction));
				}
				return delay(MAXIMUM_LATENCY_MILLIS)
					.andThen(Single.<TransactionResult>error(new StoreException("response lost", true)));
			});
		}

		private void execute(Transaction transaction) {
			this.store.commit(transaction).subscribe();
		}

		private <T> Single<T> call(Single<T> effect) {
			return Single.defer(() -> {
				if (this.unresponsive) {
					return Single.never();
				}
				if (this.down) {
					return delay(MAXIMUM_LATENCY_MILLIS)
						.andThen(Single.<T>error(new StoreException("store is down", false)));
				}
				Duration responseDelay = this.nextResponseDelay;
				this.nextResponseDelay = Duration.ZERO;
				return delay(MAXIMUM_LATENCY_MILLIS).andThen(effect)
					.flatMap((result) -> this.timers.after(responseDelay)
						.andThen(delay(MAXIMUM_LATENCY_MILLIS))
						.andThen(Single.just(result)));
			});
		}

		private Completable delay(int maximumMillis) {
			return this.timers.after(Duration.ofMillis(1 + this.random.nextInt(maximumMillis)));
		}

	}

}
