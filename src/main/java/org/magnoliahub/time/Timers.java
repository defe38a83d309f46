package org.magnoliahub.time;

import java.time.Duration;

import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Monotonic time and timers that run tasks on the event loop.
 */
public interface Timers {

	/**
	 * Returns the monotonic time.
	 * @return nanoseconds since an arbitrary origin of this process
	 */
	long nanoTime();

	/**
	 * Runs a task once.
	 * @param delay the delay; zero or negative for the next iteration of the event loop
	 * @param task the task
	 * @return cancels the task when disposed
	 */
	Disposable schedule(Duration delay, Runnable task);

	/**
	 * Runs a task periodically, for the first time one period from now.
	 * @param period the period, positive
	 * @param task the task
	 * @return cancels further runs when disposed
	 * @throws IllegalArgumentException if the period is not positive
	 */
	Disposable schedulePeriodically(Duration period, Runnable task);

	/**
	 * Returns the monotonic time in milliseconds.
	 * @return milliseconds since an arbitrary origin of this process
	 */
	default long milliTime() {
		return Math.floorDiv(nanoTime(), 1_000_000L);
	}

}
