package org.magnoliahub.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process of the binary under test.
 */
final class RunningProcess implements AutoCloseable {

	private static final Path BINARY = Path.of("target", "magnoliahub");

	private static final Pattern PORT = Pattern.compile("on [0-9.]+:(\\d+)");

	private final Process process;

	private final List<Integer> ports = new ArrayList<>();

	private RunningProcess(Process process) {
		this.process = process;
	}

	/**
	 * Starts a process and waits until it listens.
	 * @param name name of its log file under target
	 * @param arguments the command line
	 * @return the running process
	 * @throws IOException if it does not start
	 */
	static RunningProcess start(String name, String... arguments) throws IOException {
		List<String> command = new ArrayList<>(List.of(BINARY.toAbsolutePath().toString()));
		command.addAll(List.of(arguments));
		Path log = Path.of("target", "process-" + name + ".log");
		Files.createDirectories(log.toAbsolutePath().getParent());
		Process process = new ProcessBuilder(command).redirectError(log.toFile()).start();
		RunningProcess running = new RunningProcess(process);
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
		String line = reader.readLine();
		if (line == null) {
			throw new IOException(name + " did not start: " + Files.readString(log));
		}
		Matcher matcher = PORT.matcher(line);
		while (matcher.find()) {
			running.ports.add(Integer.parseInt(matcher.group(1)));
		}
		return running;
	}

	int port() {
		return this.ports.get(0);
	}

	long pid() {
		return this.process.pid();
	}

	int adminPort() {
		return this.ports.get(1);
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	/**
	 * Asks the process to stop and waits for its end.
	 * @return whether it ended in time
	 * @throws InterruptedException if the wait is interrupted
	 */
	boolean terminate() throws InterruptedException {
		this.process.destroy();
		return this.process.waitFor(30, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
	}

}
