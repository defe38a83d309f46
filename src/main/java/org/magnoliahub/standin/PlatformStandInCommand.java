package org.magnoliahub.standin;

import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.command.Command;
import org.magnoliahub.command.CommandException;
import org.magnoliahub.command.ExitCode;
import org.magnoliahub.command.Settings;

/**
 * Runs a {@link PlatformStandIn} until the process is told to stop.
 */
public final class PlatformStandInCommand implements Command {

	private static final int MAXIMUM_PORT = 65_535;

	private static final int DEFAULT_PORT = 2379;

	private static final int MAXIMUM_RATE = 1_000_000;

	@Override
	public String name() {
		return "stand-in-platform";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run a stand-in for the platform services");
		parser.description("Runs a stand-in for the table service, the object store and the VM inventory.");
		Settings.declare(parser, "--listen-address", "loopback address to listen on (default 127.0.0.1)");
		Settings.declare(parser, "--listen-port", "port to listen on, 0 for any (default 2379)");
		Settings.declare(parser, "--transactions-per-second", "limit of the table service, 0 for none (default 0)");
		Settings.declare(parser, "--seed", "seed of the random faults (default 1)");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		String address = settings.optionalText("--listen-address").orElse("127.0.0.1");
		int port = (int) settings.number("--listen-port", 0, MAXIMUM_PORT, DEFAULT_PORT);
		int rate = (int) settings.number("--transactions-per-second", 0, MAXIMUM_RATE, 0);
		long seed = settings.number("--seed", Long.MIN_VALUE, Long.MAX_VALUE, 1);
		settings.check();
		try (PlatformStandIn standIn = PlatformStandIn.start(address, port, rate, seed)) {
			output.println("listening on " + address + ":" + standIn.port());
			output.flush();
			CountDownLatch stopped = new CountDownLatch(1);
			Runtime.getRuntime().addShutdownHook(new Thread(stopped::countDown));
			stopped.await();
			return ExitCode.SUCCESS;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
		catch (RuntimeException ex) {
			throw new CommandException(ExitCode.FAILURE,
					"cannot listen on " + address + ":" + port + ": " + ex.getMessage());
		}
	}

}
