package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.time.TimerService;

/**
 * Decorator of {@link TableStore} that commits a limited number of transactions per
 * second in order of arrival, like the table service of the platform. Reads are not
 * limited.
 */
public final class RateLimitedTableStore implements TableStore {

	private final TableStore delegate;

	private final TimerService timers;

	private final long nanosPerTransaction;

	private long lastCommitNanos;

	private RateLimitedTableStore(TableStore delegate, TimerService timers, long nanosPerTransaction) {
		this.delegate = delegate;
		this.timers = timers;
		this.nanosPerTransaction = nanosPerTransaction;
		this.lastCommitNanos = timers.nanoTime();
	}

	/**
	 * Creates the decorator.
	 * @param delegate the store to call
	 * @param timers timer service that delays transactions
	 * @param transactionsPerSecond the limit, 1 to 1,000,000
	 * @return the decorator
	 * @throws IllegalArgumentException if the limit is out of range
	 */
	public static RateLimitedTableStore of(TableStore delegate, TimerService timers, int transactionsPerSecond) {
		Arguments.requireRange(transactionsPerSecond, 1, 1_000_000, "transactions per second");
		return new RateLimitedTableStore(delegate, timers, Duration.ofSeconds(1).toNanos() / transactionsPerSecond);
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
		return Single.defer(() -> {
			long now = this.timers.nanoTime();
			this.lastCommitNanos = Math.max(now, this.lastCommitNanos) + this.nanosPerTransaction;
			return this.timers.after(Duration.ofNanos(this.lastCommitNanos - now))
				.andThen(this.delegate.commit(transaction));
		});
	}

}
