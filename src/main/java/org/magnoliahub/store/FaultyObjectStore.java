package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.time.TimerService;

/**
 * Decorator of {@link ObjectStore} that injects faults into its calls.
 */
public final class FaultyObjectStore implements ObjectStore {

	private final ObjectStore delegate;

	private final StoreFaultInjector injector;

	private FaultyObjectStore(ObjectStore delegate, StoreFaultInjector injector) {
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
	public static FaultyObjectStore of(ObjectStore delegate, StoreFaults faults, TimerService timers,
			RandomGenerator random, Duration timeout) {
		return new FaultyObjectStore(delegate, new StoreFaultInjector(faults, timers, random, timeout));
	}

	@Override
	public Single<Optional<StoredObject>> get(String key) {
		return this.injector.call(this.delegate.get(key), false);
	}

	@Override
	public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
		return this.injector.call(this.delegate.put(key, content, condition), true);
	}

	@Override
	public Single<List<String>> list(String prefix, String startAfter, int limit) {
		return this.injector.call(this.delegate.list(prefix, startAfter, limit), false);
	}

	@Override
	public Completable delete(String key) {
		return this.injector.call(this.delegate.delete(key).toSingleDefault(key), true).ignoreElement();
	}

}
