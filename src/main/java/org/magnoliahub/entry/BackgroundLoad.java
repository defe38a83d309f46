package org.magnoliahub.entry;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Creates an object whose classes take long to load on a thread of its own, so that the
 * event loop is not blocked meanwhile.
 */
final class BackgroundLoad {

	private BackgroundLoad() {
	}

	/**
	 * Starts the thread. The result is dropped if the event loop has ended meanwhile.
	 * @param <T> the type of the object
	 * @param name name of the thread
	 * @param creation creates the object
	 * @param loop runs the next step
	 * @param use receives the object on the event loop
	 * @return the thread
	 */
	static <T> Thread start(String name, Supplier<T> creation, Executor loop, Consumer<T> use) {
		Thread thread = new Thread(() -> {
			T created = creation.get();
			try {
				loop.execute(() -> use.accept(created));
			}
			catch (RejectedExecutionException ex) {
				// The gateway has stopped and no longer needs the object.
				return;
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

}
