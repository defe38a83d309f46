package org.magnoliahub.standin;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import org.magnoliahub.command.CommandException;
import org.magnoliahub.command.ExitCode;
import org.magnoliahub.command.Settings;

/**
 * Settings that both stand-in commands have, and the wait for their end.
 */
final class StandInSettings {

	private static final String ADDRESS = "--listen-address";

	private static final String PORT = "--listen-port";

	private static final String SLOTS = "--slots";

	private static final String WAITING = "--waiting";

	private static final String SEED = "--seed";

	private StandInSettings() {
	}

	static void declare(ArgumentParser parser) {
		Settings.declare(parser, ADDRESS, "local address, default 127.0.0.1");
		Settings.declare(parser, PORT, "local port, default 0 for any free port");
		Settings.declare(parser, SLOTS, "calls in execution at once, default 8");
		Settings.declare(parser, WAITING, "calls that may wait for a slot, default 64");
		Settings.declare(parser, SEED, "seed of random faults, default 1");
	}

	static String address(Settings settings) {
		return settings.optionalText(ADDRESS).orElse("127.0.0.1");
	}

	static int port(Settings settings) {
		return (int) settings.number(PORT, 0, 65_535, 0);
	}

	static int slots(Settings settings) {
		return (int) settings.number(SLOTS, 1, 512, 8);
	}

	static int waiting(Settings settings) {
		return (int) settings.number(WAITING, 0, 512, 64);
	}

	static long seed(Settings settings) {
		return settings.number(SEED, Long.MIN_VALUE, Long.MAX_VALUE, 1);
	}

	static long milliseconds(Settings settings, String flag, long defaultValue) {
		return settings.number(flag, 0, 3_600_000, defaultValue);
	}

	/**
	 * Starts a stand-in, prints its address and waits until the process is stopped or the
	 * thread is interrupted.
	 * @param start starts the stand-in
	 * @param port returns its port
	 * @param address the local address
	 * @param output where its address is printed
	 * @param <T> type of the stand-in
	 * @return the exit code
	 * @throws CommandException if it cannot be started
	 */
	static <T extends AutoCloseable> ExitCode serve(Supplier<T> start, ToIntFunction<T> port, String address,
			PrintStream output) throws CommandException {
		T standIn;
		try {
			standIn = start.get();
		}
		catch (RuntimeException ex) {
			throw new CommandException(ExitCode.FAILURE, "cannot listen on " + address + ": " + ex.getMessage());
		}
		output.println("listening on " + address + ":" + port.applyAsInt(standIn));
		output.flush();
		try (standIn) {
			new CountDownLatch(1).await();
		}
		catch (Exception ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.SUCCESS;
	}

}
