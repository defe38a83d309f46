package org.magnoliahub.entry;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.time.Timers;

/**
 * Timers on a Netty event loop. A gateway does not use an RxJava scheduler, because
 * loading its classes takes a tenth of the startup time.
 */
final class EventLoopTimers implements Timers {

	private final EventLoop loop;

	/**
	 * Creates timers on an event loop.
	 * @param loop runs the tasks
	 */
	EventLoopTimers(EventLoop loop) {
		this.loop = loop;
	}

	@Override
	public long nanoTime() {
		return System.nanoTime();
	}

	@Override
	public Disposable schedule(Duration delay, Runnable task) {
		return new ScheduledTask(this.loop.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS));
	}

	@Override
	public Disposable schedulePeriodically(Duration period, Runnable task) {
		if (period.isZero() || period.isNegative()) {
			throw new IllegalArgumentException("period must be positive, but was " + period);
		}
		long nanos = period.toNanos();
		return new ScheduledTask(
				this.loop.scheduleWithFixedDelay(() -> runAndReportFailure(task), nanos, nanos, TimeUnit.NANOSECONDS));
	}

	// An exception would silently cancel the periodic task.
	private static void runAndReportFailure(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			System.err.println("magnoliahub: error: a periodic task failed: " + ex);
			ex.printStackTrace(System.err);
		}
	}

	private record ScheduledTask(Future<?> future) implements Disposable {

		@Override
		public void dispose() {
			this.future.cancel(false);
		}

		@Override
		public boolean isDisposed() {
			return this.future.isDone();
		}

	}

}
