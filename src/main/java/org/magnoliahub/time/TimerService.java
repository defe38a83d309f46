package org.magnoliahub.time;

import java.time.Duration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;

/**
 * Monotonic time and timers. All parts subscribe to it; none reads a clock or sleeps.
 */
public interface TimerService {

	/**
	 * Returns the monotonic time.
	 * @return nanoseconds since an arbitrary origin of this process
	 */
	long nanoTime();

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

	/**
	 * Returns the monotonic time in milliseconds.
	 * @return milliseconds since an arbitrary origin of this process
	 */
	default long milliTime() {
		return Math.floorDiv(nanoTime(), 1_000_000L);
	}

}
