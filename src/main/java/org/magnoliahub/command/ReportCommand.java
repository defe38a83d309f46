package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import io.reactivex.rxjava3.schedulers.Schedulers;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.claim.ClaimAdministration;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.platform.HostPort;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.report.DailyReport;
import org.magnoliahub.report.HtmlReport;
import org.magnoliahub.report.RecordReader;
import org.magnoliahub.report.ReportBuilder;
import org.magnoliahub.report.TextReport;

/**
 * Prints the daily report, read from the platform without a gateway.
 */
final class ReportCommand implements Command {

	private final CommandContext context;

	ReportCommand(CommandContext context) {
		this.context = context;
	}

	@Override
	public String name() {
		return "report";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("print the report of yesterday and today");
		parser.description("Prints the report of yesterday and today (UTC). It states how complete its data is.");
		Settings.declare(parser, "--format", "text or html; default: text");
		Settings.declare(parser, "--output", "file to write; default: standard output");
		Settings.declare(parser, "--maximum-objects", "most objects read per day; default: 4000000");
		Settings.declare(parser, "--entry-store",
				"host and port of the users' platform, to report what entry gateways served; needs no other store");
		this.context.access().declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		String format = settings.optionalText("--format").orElse("text");
		if (!format.equals("text") && !format.equals("html")) {
			settings.addFault("--format must be text or html, but was '" + format + "'");
		}
		Optional<String> file = settings.optionalText("--output");
		int objects = (int) settings.number("--maximum-objects", 1, 10_000_000, 4_000_000);
		Optional<String> entryStore = settings.optionalText("--entry-store");
		if (entryStore.isPresent()) {
			return write(entryReport(settings, entryStore.get(), this.context.clock().instant(), objects), format, file,
					output);
		}
		Platform platform = this.context.access().open(settings);
		DailyReport report = ReportBuilder
			.of(RecordReader.of(platform.objectStore(), Schedulers.computation()),
					ConfigurationRepository.of(platform.tableStore(), platform.objectStore()),
					ClaimAdministration.of(platform.tableStore()), this.context.clock()::instant, objects)
			.build()
			.blockingGet();
		return write(report, format, file, output);
	}

	private static DailyReport entryReport(Settings settings, String address, Instant now, int objects)
			throws CommandException {
		InetSocketAddress store = null;
		try {
			store = HostPort.parse(address);
		}
		catch (PlatformFormatException ex) {
			settings.addFault("--entry-store: " + ex.getMessage());
		}
		settings.check();
		if (store == null) {
			throw new CommandException(ExitCode.USAGE, "--entry-store is faulty");
		}
		return EntryReport.read(store, now, objects);
	}

	private static ExitCode write(DailyReport report, String format, Optional<String> file, PrintStream output)
			throws CommandException {
		String content = format.equals("html") ? HtmlReport.render(report) : TextReport.render(report);
		if (file.isEmpty()) {
			output.print(content);
			return ExitCode.SUCCESS;
		}
		try {
			Files.writeString(Path.of(file.get()), content);
			return ExitCode.SUCCESS;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILURE, "cannot write the report: " + ex);
		}
	}

}
