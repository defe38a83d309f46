import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class RunRecord {

	private final PrintWriter out;

	private final long started = System.nanoTime();

	RunRecord(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8,
				StandardOpenOption.CREATE, StandardOpenOption.APPEND), true);
	}

	synchronized void write(String format, Object... values) {
		this.out.printf("%8.3f %s%n", (System.nanoTime() - this.started) / 1e9, String.format(format, values));
	}

}
