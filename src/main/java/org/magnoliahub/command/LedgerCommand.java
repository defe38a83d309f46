package org.magnoliahub.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.ledger.EndedRequest;
import org.magnoliahub.ledger.LedgerReader;
import org.magnoliahub.ledger.LossLedger;
import org.magnoliahub.query.ResultFormat;

/**
 * Prints what requests were lost to, from the logs of entry gateways.
 */
final class LedgerCommand implements Command {

	private static final long SECONDS = 2;

	@Override
	public String name() {
		return "ledger";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("sum up late, refused and failed requests from logs");
		parser.description("Counts how requests ended, by route, cause, gateway and two seconds, with the mean time of"
				+ " each step of the late ones. Exits with 5 if the logs hold no ended request.");
		LogFiles.declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		LossLedger ledger = new LossLedger();
		AtomicLong omitted = new AtomicLong();
		LogFiles.read(arguments, (name, log) -> omitted.addAndGet(read(name, log, ledger, errors)));
		if (ledger.size() == 0) {
			errors.println("magnoliahub: no request ended in these logs");
			return ExitCode.UNKNOWN;
		}
		print(ledger, output);
		if (omitted.get() > 0) {
			output.println("# " + omitted + " lines of the logs were left out by their limits");
		}
		return ExitCode.SUCCESS;
	}

	private static long read(String name, BufferedReader log, LossLedger ledger, PrintStream errors)
			throws IOException {
		LedgerReader reader = new LedgerReader(name, ledger::add);
		reader.read(log);
		if (reader.unreadable() > 0) {
			errors.println("magnoliahub: " + reader.unreadable() + " lines of " + name + " could not be read");
		}
		return reader.omitted();
	}

	private static void print(LossLedger ledger, PrintStream output) {
		output.println(ResultFormat.TABLE.render(ledger.by("route", EndedRequest::route)));
		output.println(ResultFormat.TABLE.render(ledger.causes()));
		output.println(ResultFormat.TABLE.render(ledger.by("gateway", EndedRequest::gateway)));
		output.print(ResultFormat.TABLE.render(ledger.by("second", LedgerCommand::second)));
	}

	// Padded, so that seconds are in their order.
	private static String second(EndedRequest request) {
		return "%8d".formatted(Math.floorDiv(request.endedSecond(), SECONDS) * SECONDS);
	}

}
