package org.magnoliahub.store;

import java.time.Duration;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.magnoliahub.time.TimerService;

/**
 * Applies {@link StoreFaults} to single calls.
 */
final class FaultInjector {

	private final StoreFaults faults;

	private final TimerService timers;

	private final RandomGenerator random;

	private final Duration timeout;

	FaultInjector(StoreFaults faults, TimerService timers, RandomGenerator random, Duration timeout) {
		if (timeout.isZero() || timeout.isNegative()) {
			throw new IllegalArgumentException("timeout must be positive, but was " + timeout);
		}
		this.faults = faults;
		this.timers = timers;
		this.random = random;
		this.timeout = timeout;
	}

	<T> Single<T> call(Single<T> call, boolean write) {
		return Single.defer(() -> Single.ambArray(inject(call), timeout(write)));
	}

	private <T> Single<T> inject(Single<T> call) {
		if (this.faults.unavailable()) {
			return Single.never();
		}
		if (this.random.nextDouble() < this.faults.failBeforeProbability()) {
			return Single.error(new StoreException("store refused the call", false));
		}
		boolean answerLost = this.random.nextDouble() < this.faults.lostAnswerProbability();
		SingleSubject<T> answer = SingleSubject.create();
		// Not tied to the caller's subscription: a sent call takes effect even if the
		// caller stops waiting.
		Single<T> sent = this.faults.extraLatency().isZero() ? call
				: this.timers.after(this.faults.extraLatency()).andThen(call);
		sent.subscribe(answer);
		return answerLost ? Single.never() : answer;
	}

	private <T> Single<T> timeout(boolean write) {
		return this.timers.after(this.timeout)
			.andThen(Single.error(
					() -> new StoreException("store did not answer within " + this.timeout.toMillis() + " ms", write)));
	}

}
