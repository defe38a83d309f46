package org.magnoliahub.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;
import sun.misc.Signal;

/**
 * Starts a gateway on the users' platform. It is apart from the command line, because a
 * restart after a kill should not load the other commands.
 */
public final class EntryMain {

	private static final int INVALID_SETTINGS = 2;

	/** Option of the build's run that fills the archive of classes. */
	private static final String WARM_UP = "--warm-up";

	private static final int START_FAILED = 1;

	private static final long SETTINGS_CHECK_SECONDS = 1;

	/** Environment variable with the seconds between two objects with records. */
	public static final String RECORD_INTERVAL_VARIABLE = "MAGNOLIAHUB_RECORD_SECONDS";

	private static final long DEFAULT_RECORD_SECONDS = 60;

	private static final long MAXIMUM_RECORD_SECONDS = 3_600;

	private EntryMain() {
	}

	/**
	 * Runs the gateway until it is told to stop.
	 * @param arguments the option to warm up, or nothing
	 * @throws InterruptedException if the wait is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		// Until then the signal ends the process, so this comes before all that takes
		// time.
		ReloadRequests reloads = new ReloadRequests();
		Signal.handle(new Signal("HUP"), (signal) -> reloads.request());
		leaveOutOfStart();
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		// Netty only uses it for ids of channels; without it, it looks for a hardware
		// address.
		System.setProperty("io.netty.machineId", "02:00:00:00:00:00:00:01");
		if (arguments.length == 1 && arguments[0].equals(WARM_UP)) {
			WarmUp.run();
			return;
		}
		run(System.getenv(), reloads);
	}

	// After a kill, callers of a small VM wait for the processor time of this start.
	private static void leaveOutOfStart() {
		// Only the metrics library logs through SLF4J, and only its own misuse; finding a
		// provider and its configuration takes a fifth of the start. The class is named
		// by a text, so that it is not loaded either.
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
			// Shutdown hooks have nothing to do here, and the loop may still be busy.
			Runtime.getRuntime().halt(0);
		});
		SettingsFileMonitor changes = new SettingsFileMonitor(environment);
		while (true) {
			TimeUnit.SECONDS.sleep(SETTINGS_CHECK_SECONDS);
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
			// The message below says what was expected.
		}
		throw new PlatformFormatException(RECORD_INTERVAL_VARIABLE + " must be a number from 1 to "
				+ MAXIMUM_RECORD_SECONDS + ", but was '" + text + "'");
	}

	// Without its addresses a process would run and serve nobody.
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
