package org.magnoliahub.time;

import java.time.Duration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Monotonic time and timers that can be combined with other asynchronous work. All parts
 * subscribe to it; none reads a clock or sleeps.
 */
public interface TimerService extends Timers {

	/**
	 * Completes after a delay, on the event loop.
	 * @param delay the delay, zero or negative for the next turn of the event loop
	 * @return a timer that starts on subscription and is cancelled by disposal
	 */
	Completable after(Duration delay);

	/**
	 * Emits a running number each period, on the event loop; late ticks are skipped.
	 * @param period the period, positive
	 * @return the ticks, which start one period after subscription
	 * @throws IllegalArgumentException if the period is not positive
	 */
	Flowable<Long> every(Duration period);

	@Override
	default Disposable schedule(Duration delay, Runnable task) {
		return after(delay).subscribe(task::run);
	}

	@Override
	default Disposable repeat(Duration period, Runnable task) {
		return every(period).subscribe((tick) -> task.run());
	}

}
