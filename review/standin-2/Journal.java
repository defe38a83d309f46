package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes what was sent, answered and run, and states the result by the exit status.
 */
final class Journal {

	/** Unlike 1, with which a Java process ends that could not start. */
	private static final int HELD = 10;

	private static final int BROKEN = 11;

	private static final int COULD_NOT_RUN = 12;

	private final PrintWriter writer;

	private final long started = System.nanoTime();

	Journal(Path file) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
	}

	void end(boolean held) {
		write(held ? "the rule was kept" : "the rule was broken");
		System.exit(held ? HELD : BROKEN);
	}

	void endWithoutResult(String reason) {
		write("the case could not run: " + reason);
		System.exit(COULD_NOT_RUN);
	}

	synchronized void write(String line) {
		this.writer.printf("%8.3f s  %s%n", (System.nanoTime() - this.started) / 1e9, line);
	}

}
