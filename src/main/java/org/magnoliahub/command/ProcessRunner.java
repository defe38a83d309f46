package org.magnoliahub.command;

import java.util.concurrent.CountDownLatch;

/**
 * Keeps a server process running until it is asked to stop.
 */
final class ProcessRunner {

	private ProcessRunner() {
	}

	/**
	 * Waits until the process receives a termination signal, then stops it gracefully.
	 * @param stop drains and closes the process
	 * @return success; in practice the process exits through the signal
	 */
	static ExitCode runUntilTerminated(Runnable stop) {
		CountDownLatch terminated = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			stop.run();
			terminated.countDown();
		}, "shutdown"));
		try {
			terminated.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.SUCCESS;
	}

}
