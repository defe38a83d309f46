package org.magnoliahub.command;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;

import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Entry point of the {@code magnoliahub} binary.
 */
public final class Main {

	private static final Logger LOGGER = System.getLogger(Main.class.getName());

	private static final String COMMAND_ATTRIBUTE = "command_to_run";

	private Main() {
	}

	/**
	 * Runs the command named by the arguments and exits with its exit code.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		// Results of calls that were given up arrive late and have nobody to go to.
		RxJavaPlugins.setErrorHandler((failure) -> LOGGER.log(Level.DEBUG, "result of a cancelled call", failure));
		ExitCode code = run(Commands.all(), arguments, System.getenv(), System.out, System.err);
		System.out.flush();
		System.exit(code.value());
	}

	static ExitCode run(List<Command> commands, String[] arguments, Map<String, String> environment, PrintStream output,
			PrintStream errors) {
		ArgumentParser parser = ArgumentParsers.newFor("magnoliahub")
			.build()
			.defaultHelp(false)
			.description("Serving system for multi-stage model pipelines.")
			.epilog("Exit codes: 0 success, 1 failure, 2 invalid arguments, settings or declarations, "
					+ "3 conflict with a newer version, 4 a needed service does not answer, "
					+ "5 what was asked for is not known. The codes of check-configuration are in its help.");
		Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
		for (Command command : commands) {
			command.configure(subparsers.addParser(command.name()).setDefault(COMMAND_ATTRIBUTE, command));
		}
		try {
			Namespace namespace = parser.parseArgs(arguments);
			Command command = namespace.get(COMMAND_ATTRIBUTE);
			return command.run(namespace, environment, output, errors);
		}
		catch (HelpScreenException ex) {
			return ExitCode.SUCCESS;
		}
		catch (ArgumentParserException ex) {
			ex.getParser().printUsage(new PrintWriter(errors, true));
			errors.println("magnoliahub: error: " + ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (CommandException ex) {
			errors.println("magnoliahub: error: " + ex.getMessage());
			return ex.exitCode();
		}
	}

}
