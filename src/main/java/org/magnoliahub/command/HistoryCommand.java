package org.magnoliahub.command;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.configuration.AuditEntry;
import org.magnoliahub.configuration.ConfigurationRepository;

/**
 * Prints the audit trail of configuration changes.
 */
final class HistoryCommand implements Command {

	private static final String HOURS = "--hours";

	private static final String LIMIT = "--limit";

	private static final int DEFAULT_HOURS = 24;

	private static final int DEFAULT_LIMIT = 50;

	private static final int PAGE = 500;

	private final CommandContext context;

	HistoryCommand(CommandContext context) {
		this.context = context;
	}

	@Override
	public String name() {
		return "history";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("print accepted and refused changes");
		parser.description("Prints accepted and refused changes, oldest first.");
		Settings.declare(parser, HOURS, "how far back, in hours, default " + DEFAULT_HOURS);
		Settings.declare(parser, LIMIT, "most entries to print, the newest are kept, default " + DEFAULT_LIMIT);
		this.context.access().declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		long hours = settings.number(HOURS, 1, 100_000, DEFAULT_HOURS);
		long limit = settings.number(LIMIT, 1, 10_000, DEFAULT_LIMIT);
		ConfigurationRepository repository = this.context.open(settings);
		Instant now = this.context.clock().instant();
		Instant from = now.minus(Duration.ofHours(hours));
		Deque<AuditEntry> newest = new ArrayDeque<>();
		long count = 0;
		String after = "";
		List<ConfigurationRepository.AuditRow> page;
		do {
			page = this.context
				.await(repository.readAuditTrail(from.isBefore(Instant.EPOCH) ? Instant.EPOCH : from, after, PAGE));
			for (ConfigurationRepository.AuditRow row : page) {
				after = row.key();
				count++;
				newest.add(row.entry());
				if (newest.size() > limit) {
					newest.remove();
				}
			}
		}
		while (page.size() == PAGE);
		newest.forEach((entry) -> print(entry, output));
		output.println(newest.size() + " of " + count + " entries of the last " + hours + " hours");
		return ExitCode.SUCCESS;
	}

	private static void print(AuditEntry entry, PrintStream output) {
		String result = entry.result().name().toLowerCase(Locale.ROOT);
		output.println(entry.time() + "  " + result + "  version " + entry.version() + "  base " + entry.baseVersion()
				+ "  by " + ChangePrinter.printable(entry.author()) + "  change " + entry.changeId());
		if (!entry.comment().isEmpty()) {
			output.println("    comment: " + ChangePrinter.printable(entry.comment()));
		}
		output.println("    " + ChangePrinter.summary(entry.items(), entry.itemCount()));
		entry.faults().forEach((fault) -> output.println("    refused: " + ChangePrinter.printable(fault)));
	}

}
