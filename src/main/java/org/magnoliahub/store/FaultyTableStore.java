package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.time.TimerService;

/**
 * Decorator of {@link TableStore} that injects faults into its calls.
 */
public final class FaultyTableStore implements TableStore {

	private final TableStore delegate;

	private final StoreFaultInjector injector;

	private FaultyTableStore(TableStore delegate, StoreFaultInjector injector) {
		this.delegate = delegate;
		this.injector = injector;
	}

	/**
	 * Creates the decorator.
	 * @param delegate the store to call
	 * @param faults the faults to inject, read at the start of each call
	 * @param timers timer service for latency and timeouts
	 * @param random random numbers that decide which calls fail
	 * @param timeout maximum time until a response or an error, positive
	 * @return the decorator
	 * @throws IllegalArgumentException if the timeout is not positive
	 */
	public static FaultyTableStore of(TableStore delegate, StoreFaults faults, TimerService timers,
			RandomGenerator random, Duration timeout) {
		return new FaultyTableStore(delegate, new StoreFaultInjector(faults, timers, random, timeout));
	}

	@Override
	public Single<Optional<Row>> read(RowKey key) {
		return this.injector.call(this.delegate.read(key), false);
	}

	@Override
	public Single<List<Row>> scan(String table, String fromKey, int limit) {
		return this.injector.call(this.delegate.scan(table, fromKey, limit), false);
	}

	@Override
	public Single<TransactionResult> commit(Transaction transaction) {
		return this.injector.call(this.delegate.commit(transaction), true);
	}

}
