package org.magnoliahub.store;

import java.time.Duration;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.magnoliahub.time.TimerService;

/**
 * Runs an action of an in-memory service after half a round trip and answers after the
 * other half. As with a remote service, the action runs even if the caller has lost
 * interest by then.
 */
final class Latency {

	private final TimerService timers;

	private final Duration half;

	private Latency(TimerService timers, Duration half) {
		this.timers = timers;
		this.half = half;
	}

	static Latency ofRoundTrip(TimerService timers, Duration roundTrip) {
		if (roundTrip.isNegative()) {
			throw new IllegalArgumentException("latency must not be negative, but was " + roundTrip);
		}
		return new Latency(timers, roundTrip.dividedBy(2));
	}

	<T> Single<T> call(Supplier<T> action) {
		return Single.defer(() -> {
			SingleSubject<T> answer = SingleSubject.create();
			this.timers.after(this.half).subscribe(() -> {
				T result = action.get();
				this.timers.after(this.half).subscribe(() -> answer.onSuccess(result));
			});
			return answer;
		});
	}

}
