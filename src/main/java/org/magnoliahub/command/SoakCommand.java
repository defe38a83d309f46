package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.soak.Soak;
import org.magnoliahub.soak.SoakOptions;

/**
 * Runs the fault soak.
 */
final class SoakCommand implements Command {

	private static final long DEFAULT_SECONDS = 30;

	private static final long LONGEST_SECONDS = 3_600;

	private static final int MOST_RUNS = 1_000;

	@Override
	public String name() {
		return "soak";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run gateways under seeded faults and check what they promise");
		parser.description("Starts gateways as processes between emulated callers, endpoints and a store, plays the"
				+ " faults of each seed, and checks what callers and endpoints saw. Ends only processes that it"
				+ " started. Exits with 1 if a promise was broken; settings and logs stay in the directory.");
		Settings.declare(parser, "--seed", "first seed; default: 1");
		Settings.declare(parser, "--runs", "number of seeds, one after another; default: 1");
		Settings.declare(parser, "--seconds", "length of the load of each run; default: " + DEFAULT_SECONDS);
		Settings.declare(parser, "--gateways", "number of gateways; default: 3");
		Settings.declare(parser, "--callers", "number of callers; default: 16");
		Settings.declare(parser, "--directory", "where settings and logs go; default: target/soak");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		long seed = settings.number("--seed", 0, Integer.MAX_VALUE, 1);
		int runs = (int) settings.number("--runs", 1, MOST_RUNS, 1);
		long seconds = settings.number("--seconds", Soak.minimumSeconds(), LONGEST_SECONDS, DEFAULT_SECONDS);
		int gateways = (int) settings.number("--gateways", 1, 100, 3);
		int callers = (int) settings.number("--callers", 1, 500, 16);
		Path directory = Path.of(settings.optionalText("--directory").orElse("target/soak"));
		settings.check();
		SoakOptions options = new SoakOptions(seconds, gateways, callers, directory);
		List<Long> broken = new ArrayList<>();
		try {
			for (long next = seed; next < seed + runs; next++) {
				if (!Soak.run(options, next, output::println)) {
					broken.add(next);
				}
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILURE, "the soak cannot run: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
		output.println(runs + " runs, seeds with broken promises: " + broken);
		return broken.isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILURE;
	}

}
