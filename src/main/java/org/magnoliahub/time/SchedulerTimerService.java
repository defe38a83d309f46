package org.magnoliahub.time;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.TestScheduler;

/**
 * {@link TimerService} on an RxJava scheduler. With a {@link TestScheduler}, time is
 * virtual and runs are reproducible.
 */
public final class SchedulerTimerService implements TimerService {

	private final Scheduler scheduler;

	private final LongSupplier nanoTime;

	private SchedulerTimerService(Scheduler scheduler, LongSupplier nanoTime) {
		this.scheduler = scheduler;
		this.nanoTime = nanoTime;
	}

	/**
	 * Creates a timer service.
	 * @param eventLoop a scheduler that runs one task at a time
	 * @param nanoTime source of the monotonic time in nanoseconds
	 * @return the timer service
	 */
	public static SchedulerTimerService of(Scheduler eventLoop, LongSupplier nanoTime) {
		return new SchedulerTimerService(eventLoop, nanoTime);
	}

	/**
	 * Creates a timer service that uses virtual time.
	 * @param scheduler a scheduler whose time the caller advances
	 * @return the timer service
	 */
	public static SchedulerTimerService virtual(TestScheduler scheduler) {
		return new SchedulerTimerService(scheduler, () -> scheduler.now(TimeUnit.NANOSECONDS));
	}

	@Override
	public Completable after(Duration delay) {
		return Completable.timer(Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS, this.scheduler);
	}

	@Override
	public Flowable<Long> every(Duration period) {
		if (period.isZero() || period.isNegative()) {
			throw new IllegalArgumentException("period must be positive, but was " + period);
		}
		return Flowable.interval(period.toNanos(), TimeUnit.NANOSECONDS, this.scheduler).onBackpressureDrop();
	}

	@Override
	public long nanoTime() {
		return this.nanoTime.getAsLong();
	}

}
