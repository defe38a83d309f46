package org.magnoliahub.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Prints what the logs of entry gateways tell about one request.
 */
final class TraceCommand implements Command {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	@Override
	public String name() {
		return "trace";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("print the story of a request from logs");
		parser.description("Prints the log lines of one request, in the order of each file, and how many lines the"
				+ " files left out. Exits with 5 if no line names the request.");
		parser.addArgument("id").help("id of the request");
		parser.addArgument("file").nargs("*").help("log files; default: standard input");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Trace trace = new Trace(arguments.getString("id"), output);
		List<String> files = arguments.getList("file");
		try {
			if (files.isEmpty()) {
				trace.read(new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)));
			}
			for (String file : files) {
				try (BufferedReader reader = Files.newBufferedReader(Path.of(file))) {
					trace.read(reader);
				}
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "the log cannot be read: " + ex.getMessage());
		}
		if (trace.omitted > 0) {
			output.println("# " + trace.omitted + " lines of the logs were left out by their limits");
		}
		if (trace.found == 0) {
			errors.println("magnoliahub: no line names the request " + trace.id);
			return ExitCode.UNKNOWN;
		}
		return ExitCode.SUCCESS;
	}

	private static final class Trace {

		private final String id;

		private final PrintStream output;

		private int found;

		private long omitted;

		private Trace(String id, PrintStream output) {
			this.id = id;
			this.output = output;
		}

		private void read(BufferedReader reader) throws IOException {
			String line = reader.readLine();
			while (line != null) {
				accept(line);
				line = reader.readLine();
			}
		}

		private void accept(String line) {
			// A collector may have put its own fields before the object.
			int start = line.indexOf('{');
			if (start < 0) {
				return;
			}
			JsonNode event;
			try {
				event = MAPPER.readTree(line.substring(start));
			}
			catch (IOException ex) {
				// Lines of other programs may be mixed in.
				return;
			}
			this.omitted += event.path("omitted").asLong(0);
			if (event.path("id").asText().equals(this.id)) {
				this.found++;
				this.output.println(line.trim());
			}
		}

	}

}
