package org.magnoliahub.entry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/**
 * Writes to standard output on a separate thread, so that a slow reader does not block
 * the caller. It uses no logging library, because initializing one takes a tenth of the
 * startup time.
 */
final class AsyncStandardOutput implements Consumer<String> {

	private static final int QUEUE_CAPACITY = 256;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private AsyncStandardOutput() {
	}

	/**
	 * Opens the output.
	 * @return accepts lines with their line terminators, and drops them if the queue is
	 * full
	 */
	static Consumer<String> open() {
		AsyncStandardOutput output = new AsyncStandardOutput();
		Thread writer = new Thread(output::write, "log");
		writer.setDaemon(true);
		writer.start();
		return output;
	}

	@Override
	public void accept(String lines) {
		this.queue.offer(lines);
	}

	private void write() {
		try (FileOutputStream output = new FileOutputStream(FileDescriptor.out)) {
			while (true) {
				output.write(this.queue.take().getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			// The log itself cannot be written, so the failure goes to standard error.
			System.err.println("magnoliahub: error: the log cannot be written: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
