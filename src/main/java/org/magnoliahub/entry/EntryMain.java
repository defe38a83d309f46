package org.magnoliahub.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;
import sun.misc.Signal;

/**
 * Main class of a gateway on the users' platform. It is separate from the command line
 * interface so that a restart after a crash does not load the classes of the commands.
 */
public final class EntryMain {

	private static final int INVALID_SETTINGS = 2;

	/** Option of the run in which the build creates the class data sharing archive. */
	private static final String WARM_UP_OPTION = "--warm-up";

	private static final int START_FAILED = 1;

	private static final long SETTINGS_CHECK_INTERVAL_SECONDS = 1;

	/** Environment variable with the seconds between two objects with request records. */
	public static final String RECORD_INTERVAL_VARIABLE = "MAGNOLIAHUB_RECORD_SECONDS";

	private static final long DEFAULT_RECORD_SECONDS = 60;

	private static final long MAXIMUM_RECORD_SECONDS = 3_600;

	private EntryMain() {
	}

	/**
	 * Runs the gateway until it gets a termination signal.
	 * @param arguments {@value #WARM_UP_OPTION} or nothing
	 * @throws InterruptedException if the wait is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		// Without a handler SIGHUP ends the process, so it is installed before anything
		// slow.
		ReloadRequests reloads = new ReloadRequests();
		Signal.handle(new Signal("HUP"), (signal) -> reloads.request());
		disableSlf4jDiscovery();
		NetworkLibraryLogger.install();
		// Netty uses the machine id only for channel ids. Without one it searches the
		// network interfaces for a hardware address, which slows the start.
		System.setProperty("io.netty.machineId", "02:00:00:00:00:00:00:01");
		// Netty would follow a random sample of its buffers, with classes of their own.
		// Tests run with it.
		System.setProperty("io.netty.leakDetection.level", "disabled");
		if (arguments.length == 1 && arguments[0].equals(WARM_UP_OPTION)) {
			WarmUp.run();
			return;
		}
		run(System.getenv(), reloads);
	}

	// Shortens the start, because on a small VM requests wait for it after a crash.
	private static void disableSlf4jDiscovery() {
		// Only the metrics library uses SLF4J, to report its own misuse. Finding and
		// configuring a provider takes a fifth of the startup time. The class is given by
		// its name so that it is not loaded here.
		System.setProperty("slf4j.provider", "org.slf4j.helpers.NOP_FallbackServiceProvider");
		System.setProperty("slf4j.internal.verbosity", "WARN");
	}

	private static void run(Map<String, String> environment, ReloadRequests reloads) throws InterruptedException {
		NodeSettings settings;
		Duration interval;
		try {
			settings = NodeSettingsReader.read(environment);
			interval = recordInterval(environment);
		}
		catch (PlatformFormatException ex) {
			System.err.println("magnoliahub: error: " + ex.getMessage());
			System.exit(INVALID_SETTINGS);
			return;
		}
		EntryGateway gateway = start(settings, interval);
		reloads.setReload(() -> gateway.reload(environment));
		Signal.handle(new Signal("TERM"), (signal) -> {
			gateway.stop();
			// There are no shutdown hooks to run, and the event loop may still be busy.
			Runtime.getRuntime().halt(0);
		});
		SettingsFileMonitor changes = new SettingsFileMonitor(environment);
		while (true) {
			TimeUnit.SECONDS.sleep(SETTINGS_CHECK_INTERVAL_SECONDS);
			if (changes.hasChanged()) {
				reloads.request();
			}
		}
	}

	private static Duration recordInterval(Map<String, String> environment) throws PlatformFormatException {
		String text = environment.getOrDefault(RECORD_INTERVAL_VARIABLE, "" + DEFAULT_RECORD_SECONDS);
		try {
			long seconds = Long.parseLong(text);
			if (seconds >= 1 && seconds <= MAXIMUM_RECORD_SECONDS) {
				return Duration.ofSeconds(seconds);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with numbers out of range.
		}
		throw new PlatformFormatException(RECORD_INTERVAL_VARIABLE + " must be a number from 1 to "
				+ MAXIMUM_RECORD_SECONDS + ", but was '" + text + "'");
	}

	// A gateway that cannot bind its addresses must exit instead of running without
	// callers.
	private static EntryGateway start(NodeSettings settings, Duration recordInterval) {
		try {
			return EntryGateway.start(settings, recordInterval, AsyncStandardOutput.open());
		}
		catch (RuntimeException ex) {
			System.err.println("magnoliahub: error: the gateway cannot start: " + ex);
			Runtime.getRuntime().halt(START_FAILED);
			throw ex;
		}
	}

}
