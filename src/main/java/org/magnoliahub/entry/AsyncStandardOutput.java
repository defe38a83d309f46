package org.magnoliahub.entry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/**
 * Writes to standard output without ever waiting for its reader. It uses no logging
 * library, because setting one up takes a tenth of the start of the process.
 */
final class AsyncStandardOutput implements Consumer<String> {

	private static final int QUEUED_WRITES = 256;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUED_WRITES);

	private AsyncStandardOutput() {
	}

	/**
	 * Opens the output.
	 * @return takes whole lines with their ends; drops them if too much waits
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
			// Nobody reads the log any more, and there is no other place to say so.
			System.err.println("magnoliahub: error: the log cannot be written: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
