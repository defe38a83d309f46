package org.magnoliahub.soak;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.entry.EntryMain;
import org.magnoliahub.ledger.GatewayLog;
import org.magnoliahub.platform.emulator.EmulatedSettings;

/**
 * One gateway as a process of its own, with the addresses that it keeps across restarts.
 */
final class GatewayChild implements AutoCloseable {

	private static final int READY = 200;

	private static final long READY_LIMIT_MILLIS = 20_000;

	private static final long READY_CHECK_MILLIS = 50;

	private final EmulatedSettings.Node node;

	private final Path settings;

	private final File log;

	/** Length of the log of an earlier run of the same seed. */
	private final long logStart;

	private String recordSeconds = "60";

	private volatile @Nullable Process process;

	private volatile int incarnation;

	private volatile boolean expectedToRun;

	private GatewayChild(EmulatedSettings.Node node, Path settings, File log) {
		this.node = node;
		this.settings = settings;
		this.log = log;
		this.logStart = log.length();
	}

	/**
	 * Prepares a gateway.
	 * @param name its name
	 * @param ip a loopback address of its own
	 * @param budget repeats of all gateways
	 * @param store host and port of the store
	 * @param directory where settings and logs go
	 * @return the gateway, not yet started
	 * @throws IOException if the settings cannot be written or no port is free
	 */
	static GatewayChild prepare(String name, String ip, EmulatedSettings.Budget budget, String store, Path directory)
			throws IOException {
		EmulatedSettings.Node node = EmulatedSettings.Node.withFreePorts(name, ip);
		Path settings = directory.resolve(name + ".json");
		Files.writeString(settings, EmulatedSettings.gateway(node, budget, store, EvacuationCheck.BOUND_MILLIS));
		return new GatewayChild(node, settings, directory.resolve(name + ".log").toFile());
	}

	/**
	 * Returns the start of loopback addresses for the gateways of this process, which
	 * share the port of their metrics.
	 * @return three numbers with their points
	 */
	static String network() {
		long process = ProcessHandle.current().pid();
		return "127." + (1 + process / 250 % 250) + "." + process % 250 + ".";
	}

	void setRecordSeconds(String seconds) {
		this.recordSeconds = seconds;
	}

	/**
	 * Returns where callers connect.
	 * @return host and port
	 */
	String callerAddress() {
		return this.node.ip() + ":" + this.node.callerPort();
	}

	/**
	 * Starts the process, which must not run.
	 * @throws IOException if it cannot be started
	 */
	void start() throws IOException {
		String java = ProcessHandle.current().info().command().orElse("java");
		ProcessBuilder builder = new ProcessBuilder(List.of(java, "-Xmx96m", "-Xss256k", "-XX:+UseSerialGC",
				"-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), EntryMain.class.getName()));
		builder.environment().put(EmulatedSettings.PATH_VARIABLE, this.settings.toString());
		builder.environment().put(EntryMain.RECORD_INTERVAL_VARIABLE, this.recordSeconds);
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log));
		this.process = builder.start();
		this.incarnation++;
		this.expectedToRun = true;
	}

	/**
	 * Returns how often the process was started.
	 * @return number of the present process, from 1
	 */
	int incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns whether the process ended though nobody ended it.
	 * @return whether it is gone
	 */
	boolean hasEndedByItself() {
		Process present = this.process;
		return this.expectedToRun && present != null && !present.isAlive();
	}

	void awaitReady() throws IOException, InterruptedException {
		long end = Ledger.now() + READY_LIMIT_MILLIS;
		while (!isReady()) {
			if (Ledger.now() > end || hasEndedByItself()) {
				throw new IOException(this.node.name() + " does not become ready; see " + this.log);
			}
			Thread.sleep(READY_CHECK_MILLIS);
		}
	}

	private boolean isReady() {
		try {
			return this.node.readiness() == READY;
		}
		catch (IOException ex) {
			// It is about to start or to end.
			return false;
		}
	}

	/**
	 * Opens a connection of a caller.
	 * @return the connection
	 * @throws IOException if nothing listens
	 */
	Socket connect() throws IOException {
		return this.node.connect(this.node.callerPort());
	}

	/**
	 * Sends the process a signal.
	 * @param name name of the signal
	 * @throws IOException if it cannot be sent
	 * @throws InterruptedException if the wait is interrupted
	 */
	void signal(String name) throws IOException, InterruptedException {
		Process present = this.process;
		if (present != null && present.isAlive()) {
			new ProcessBuilder("kill", "-" + name, Long.toString(present.pid())).start().waitFor();
		}
	}

	/**
	 * Waits until the process has ended after a signal.
	 * @param limitMillis longest wait, after which it is killed
	 * @return whether it ended by itself
	 * @throws InterruptedException if the wait is interrupted
	 */
	boolean awaitEnd(long limitMillis) throws InterruptedException {
		Process present = this.process;
		if (present == null || present.waitFor(limitMillis, TimeUnit.MILLISECONDS)) {
			return true;
		}
		present.destroyForcibly().waitFor();
		return false;
	}

	/**
	 * Returns the requests that the gateway has read in full, as its log says. The last
	 * lines of a process that was killed may be missing.
	 * @return ids of the requests
	 * @throws IOException if the log cannot be read
	 */
	Set<String> readRequests() throws IOException {
		Set<String> ids = new HashSet<>();
		GatewayLog reader = new GatewayLog((entry) -> {
			if (entry.event().path("event").asText().equals("request_admitted")) {
				ids.add(entry.event().path("id").asText());
			}
		});
		try (InputStream bytes = Files.newInputStream(this.log.toPath())) {
			bytes.skipNBytes(this.logStart);
			reader.read(new BufferedReader(new InputStreamReader(bytes, StandardCharsets.UTF_8)));
		}
		return ids;
	}

	void expectEnd() {
		this.expectedToRun = false;
	}

	/**
	 * Kills the process without waiting for its end.
	 */
	void kill() {
		expectEnd();
		Process present = this.process;
		if (present != null) {
			present.destroyForcibly();
		}
	}

	@Override
	public void close() throws InterruptedException {
		kill();
		awaitEnd(Long.MAX_VALUE);
	}

}
