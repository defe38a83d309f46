package org.magnoliahub.entry;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.time.Timers;

/**
 * Timers on a Netty event loop. A gateway does not use an RxJava scheduler, because
 * loading its classes takes a tenth of the startup time.
 */
final class EventLoopTimers implements Timers {

	private final EventLoop loop;

	private final Consumer<Throwable> failureListener;

	/**
	 * Creates timers on an event loop.
	 * @param loop runs the tasks
	 * @param failureListener receives unexpected exceptions of the tasks on the event
	 * loop, must not block
	 */
	EventLoopTimers(EventLoop loop, Consumer<Throwable> failureListener) {
		this.loop = loop;
		this.failureListener = failureListener;
	}

	@Override
	public long nanoTime() {
		return System.nanoTime();
	}

	@Override
	public Disposable schedule(Duration delay, Runnable task) {
		return new ScheduledTask(
				this.loop.schedule(reportingFailure(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS));
	}

	@Override
	public Disposable schedulePeriodically(Duration period, Runnable task) {
		if (period.isZero() || period.isNegative()) {
			throw new IllegalArgumentException("period must be positive, but was " + period);
		}
		long nanos = period.toNanos();
		return new ScheduledTask(
				this.loop.scheduleWithFixedDelay(reportingFailure(task), nanos, nanos, TimeUnit.NANOSECONDS));
	}

	// The event loop would drop an exception silently, and cancel a periodic task.
	private Runnable reportingFailure(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | StackOverflowError ex) {
				this.failureListener.accept(ex);
			}
		};
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
