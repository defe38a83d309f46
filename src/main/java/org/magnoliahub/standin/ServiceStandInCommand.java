package org.magnoliahub.standin;

import java.io.PrintStream;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.command.Command;
import org.magnoliahub.command.CommandException;
import org.magnoliahub.command.ExitCode;
import org.magnoliahub.command.Settings;

/**
 * Runs a stand-in for a plain service.
 */
public final class ServiceStandInCommand implements Command {

	private static final String CALL = "--call-ms";

	@Override
	public String name() {
		return "stand-in-service";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run a stand-in for a plain service");
		parser.description("Runs a stand-in for a plain service, for demonstrations and tests.");
		StandInSettings.declare(parser);
		Settings.declare(parser, CALL, "time of one call in milliseconds, default 10");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		long callMs = StandInSettings.milliseconds(settings, CALL, 10);
		int slots = StandInSettings.slots(settings);
		int waiting = StandInSettings.waiting(settings);
		String address = StandInSettings.address(settings);
		int port = StandInSettings.port(settings);
		long seed = StandInSettings.seed(settings);
		settings.check();
		return StandInSettings.serve(() -> ServiceStandIn.start(address, port, callMs, slots, waiting, seed),
				ServiceStandIn::port, address, output);
	}

}
