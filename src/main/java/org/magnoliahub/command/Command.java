package org.magnoliahub.command;

import java.io.PrintStream;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * A subcommand of the binary.
 */
public interface Command {

	/**
	 * Returns the word that selects the command.
	 * @return the name
	 */
	String name();

	/**
	 * Adds help and arguments to the command's parser.
	 * @param parser the parser
	 */
	void configure(Subparser parser);

	/**
	 * Runs the command.
	 * @param arguments parsed arguments
	 * @param environment environment variables
	 * @param output where results go
	 * @param errors where messages about faults go
	 * @return the exit code
	 * @throws CommandException if the command cannot be run or fails
	 */
	ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException;

}
