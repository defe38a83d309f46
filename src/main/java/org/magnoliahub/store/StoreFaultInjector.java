package org.magnoliahub.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.magnoliahub.time.TimerService;

/**
 * Injects {@link StoreFaults} into calls of a store and limits the time of each call.
 */
final class StoreFaultInjector {

	private final StoreFaults faults;

	private final TimerService timers;

	private final RandomGenerator random;

	private final Duration timeout;

	StoreFaultInjector(StoreFaults faults, TimerService timers, RandomGenerator random, Duration timeout) {
		if (timeout.isZero() || timeout.isNegative()) {
			throw new IllegalArgumentException("timeout must be positive, but was " + timeout);
		}
		this.faults = faults;
		this.timers = timers;
		this.random = random;
		this.timeout = timeout;
	}

	<T> Single<T> call(Single<T> call, boolean isWrite) {
		return Single.defer(() -> Single.ambArray(callWithFaults(call), timeoutError(isWrite)));
	}

	private <T> Single<T> callWithFaults(Single<T> call) {
		if (this.faults.unavailable()) {
			return Single.never();
		}
		if (this.random.nextDouble() < this.faults.failBeforeProbability()) {
			return Single.error(new StoreException("store refused the call", false));
		}
		boolean responseLost = this.random.nextDouble() < this.faults.lostResponseProbability();
		SingleSubject<T> response = SingleSubject.create();
		// The call is independent of the caller's subscription, because a sent call takes
		// effect even if the caller no longer waits for it.
		Single<T> sent = this.faults.extraLatency().isZero() ? call
				: this.timers.after(this.faults.extraLatency()).andThen(call);
		sent.subscribe(response);
		return responseLost ? Single.never() : response;
	}

	private <T> Single<T> timeoutError(boolean isWrite) {
		return this.timers.after(this.timeout)
			.andThen(Single
				.error(() -> new StoreException("store did not answer within " + this.timeout.toMillis() + " ms",
						isWrite)));
	}

}
