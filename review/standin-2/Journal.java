package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes what was sent, answered and run.
 */
final class Journal {

	private final PrintWriter writer;

	private final long started = System.nanoTime();

	Journal(Path file) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
	}

	synchronized void write(String line) {
		this.writer.printf("%8.3f s  %s%n", (System.nanoTime() - this.started) / 1e9, line);
	}

}
