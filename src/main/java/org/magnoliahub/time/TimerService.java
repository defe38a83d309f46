package org.magnoliahub.time;

import java.time.Duration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Monotonic time and timers as reactive types, which can be composed with other
 * asynchronous work. Core packages must use it instead of reading a clock or sleeping, so
 * that tests can run on virtual time.
 */
public interface TimerService extends Timers {

	/**
	 * Completes after a delay, on the event loop.
	 * @param delay the delay; zero or negative for the next iteration of the event loop
	 * @return a timer that starts on subscription and is cancelled by disposal
	 */
	Completable after(Duration delay);

	/**
	 * Emits a sequence number once per period, on the event loop. Ticks for which the
	 * subscriber is not ready are dropped.
	 * @param period the period, positive
	 * @return the ticks, the first of them one period after subscription
	 * @throws IllegalArgumentException if the period is not positive
	 */
	Flowable<Long> every(Duration period);

	@Override
	default Disposable schedule(Duration delay, Runnable task) {
		return after(delay).subscribe(task::run);
	}

	@Override
	default Disposable schedulePeriodically(Duration period, Runnable task) {
		return every(period).subscribe((tick) -> task.run());
	}

}
