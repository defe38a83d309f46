package org.magnoliahub.entry;

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
		try {
			settings = NodeSettingsReader.read(environment);
		}
		catch (PlatformFormatException ex) {
			System.err.println("magnoliahub: error: " + ex.getMessage());
			System.exit(INVALID_SETTINGS);
			return;
		}
		EntryGateway gateway = start(settings);
		reloads.setReload(() -> gateway.reload(environment));
		Signal.handle(new Signal("TERM"), (signal) -> {
			gateway.stop();
			// Shutdown hooks have nothing to do here, and the loop may still be busy.
			Runtime.getRuntime().halt(0);
		});
		SettingsChanges changes = new SettingsChanges(environment);
		while (true) {
			TimeUnit.SECONDS.sleep(SETTINGS_CHECK_SECONDS);
			if (changes.hasChanged()) {
				reloads.request();
			}
		}
	}

	// Without its addresses a process would run and serve nobody.
	private static EntryGateway start(NodeSettings settings) {
		try {
			return EntryGateway.start(settings, StandardOutput.open());
		}
		catch (RuntimeException ex) {
			System.err.println("magnoliahub: error: the gateway cannot start: " + ex);
			Runtime.getRuntime().halt(START_FAILED);
			throw ex;
		}
	}

}
