package org.magnoliahub.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The log files that a command reads, or standard input.
 */
final class LogFiles {

	private static final String ARGUMENT = "file";

	private LogFiles() {
	}

	static void declare(Subparser parser) {
		parser.addArgument(ARGUMENT).nargs("*").help("log files; default: standard input");
	}

	/**
	 * Reads all logs.
	 * @param arguments arguments of the command
	 * @param reader reads one log
	 * @throws CommandException if a log cannot be read
	 */
	static void read(Namespace arguments, Reader reader) throws CommandException {
		List<String> files = arguments.getList(ARGUMENT);
		try {
			if (files.isEmpty()) {
				reader.read("", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
			}
			for (String file : files) {
				try (BufferedReader log = Files.newBufferedReader(Path.of(file))) {
					reader.read(file, log);
				}
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "the log cannot be read: " + ex.getMessage());
		}
	}

	/**
	 * Reads a log.
	 */
	interface Reader {

		/**
		 * Called for each log.
		 * @param name name of its file, empty for standard input
		 * @param log its lines
		 * @throws IOException if it cannot be read
		 */
		void read(String name, BufferedReader log) throws IOException;

	}

}
