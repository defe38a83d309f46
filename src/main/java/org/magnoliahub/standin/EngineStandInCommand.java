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
 * Runs a stand-in for an engine.
 */
public final class EngineStandInCommand implements Command {

	private static final String FIRST_TOKEN = "--first-token-ms";

	private static final String TOKEN = "--token-ms";

	@Override
	public String name() {
		return "stand-in-engine";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run a stand-in for an engine");
		parser.description("Runs a stand-in for an engine, for demonstrations and tests.");
		StandInSettings.declare(parser);
		Settings.declare(parser, FIRST_TOKEN, "time to the first token in milliseconds, default 50");
		Settings.declare(parser, TOKEN, "time between tokens in milliseconds, default 10");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		EngineSpeed speed = new EngineSpeed(StandInSettings.milliseconds(settings, FIRST_TOKEN, 50),
				StandInSettings.milliseconds(settings, TOKEN, 10), StandInSettings.slots(settings),
				StandInSettings.waiting(settings));
		String address = StandInSettings.address(settings);
		int port = StandInSettings.port(settings);
		long seed = StandInSettings.seed(settings);
		settings.check();
		return StandInSettings.serve(() -> EngineStandIn.start(address, port, speed, seed), EngineStandIn::port,
				address, output);
	}

}
