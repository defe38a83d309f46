package org.magnoliahub.store;

import java.time.Duration;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.magnoliahub.time.TimerService;

/**
 * Simulates the latency of a remote service: runs an action after half the round-trip
 * time and delivers its result after the other half. As with a remote service, the action
 * runs even if the caller has cancelled the call.
 */
final class SimulatedLatency {

	private final TimerService timers;

	private final Duration oneWayDelay;

	private SimulatedLatency(TimerService timers, Duration oneWayDelay) {
		this.timers = timers;
		this.oneWayDelay = oneWayDelay;
	}

	static SimulatedLatency ofRoundTrip(TimerService timers, Duration roundTrip) {
		if (roundTrip.isNegative()) {
			throw new IllegalArgumentException("latency must not be negative, but was " + roundTrip);
		}
		return new SimulatedLatency(timers, roundTrip.dividedBy(2));
	}

	<T> Single<T> call(Supplier<T> action) {
		return Single.defer(() -> {
			SingleSubject<T> response = SingleSubject.create();
			this.timers.after(this.oneWayDelay).subscribe(() -> {
				T result = action.get();
				this.timers.after(this.oneWayDelay).subscribe(() -> response.onSuccess(result));
			});
			return response;
		});
	}

}
