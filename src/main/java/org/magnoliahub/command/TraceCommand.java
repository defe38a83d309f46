package org.magnoliahub.command;

import java.io.PrintStream;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.ledger.GatewayLog;

/**
 * Prints what the logs of entry gateways tell about one request.
 */
final class TraceCommand implements Command {

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
		LogFiles.declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Trace trace = new Trace(arguments.getString("id"), output);
		GatewayLog logs = new GatewayLog(trace::accept);
		LogFiles.read(arguments, (name, log) -> logs.read(log));
		if (logs.omitted() > 0) {
			output.println("# " + logs.omitted() + " lines of the logs were left out by their limits");
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

		private Trace(String id, PrintStream output) {
			this.id = id;
			this.output = output;
		}

		private void accept(GatewayLog.Entry entry) {
			if (entry.event().path("id").asText().equals(this.id)) {
				this.found++;
				this.output.println(entry.line().trim());
			}
		}

	}

}
