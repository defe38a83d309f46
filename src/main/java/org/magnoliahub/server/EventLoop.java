package org.magnoliahub.server;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

/**
 * The one thread of a process on which all core objects run.
 */
public final class EventLoop implements AutoCloseable {

	private static final long CALL_TIMEOUT_SECONDS = 10;

	private final ScheduledExecutorService executor;

	private final Scheduler scheduler;

	private final TimerService timers;

	private EventLoop(String name) {
		// Tasks that arrive after the stop, such as closed connections, are dropped.
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		}, new ThreadPoolExecutor.DiscardPolicy());
		this.scheduler = Schedulers.from(this.executor);
		this.timers = SchedulerTimerService.of(this.scheduler, System::nanoTime);
	}

	/**
	 * Starts an event loop.
	 * @param name name of its thread
	 * @return the event loop
	 */
	public static EventLoop start(String name) {
		return new EventLoop(name);
	}

	/**
	 * Returns the scheduler.
	 * @return runs tasks on the event loop, one at a time
	 */
	public Scheduler scheduler() {
		return this.scheduler;
	}

	/**
	 * Returns the timer service.
	 * @return time on the event loop
	 */
	public TimerService timers() {
		return this.timers;
	}

	/**
	 * Runs a task on the event loop and waits for its result. Must not be called on the
	 * event loop.
	 * @param <T> type of the result
	 * @param task the task
	 * @return its result
	 * @throws IllegalStateException if the task fails or takes longer than
	 * {@value #CALL_TIMEOUT_SECONDS} seconds
	 */
	public <T> T call(Callable<T> task) {
		try {
			return this.executor.submit(task).get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while waiting for the event loop", ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("task on the event loop failed", ex);
		}
	}

	/**
	 * Stops the thread. Tasks that have not started are dropped.
	 */
	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
