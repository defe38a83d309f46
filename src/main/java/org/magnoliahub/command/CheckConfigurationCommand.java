package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.configurationcheck.CheckReport;
import org.magnoliahub.configurationcheck.ConfigurationDocument;
import org.magnoliahub.configurationcheck.Severity;
import org.magnoliahub.configurationcheck.StoredConfigurationCheck;
import org.magnoliahub.platform.ConfigurationDocumentReader;
import org.magnoliahub.platform.PlatformFormatException;

/**
 * Checks a configuration of the platform before it is stored.
 */
final class CheckConfigurationCommand implements Command {

	private static final String FILE = "file";

	private static final String AGAINST = "against";

	private static final String FORMAT = "format";

	private static final String TEXT = "text";

	private static final String JSON = "json";

	@Override
	public String name() {
		return "check-configuration";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("check a configuration of the platform");
		parser.description("Checks a configuration of the platform as it is stored (JSON), and compares it with the"
				+ " version in force. Exits with 0 if there is no finding, 1 if there are only warnings, 2 if there are"
				+ " errors or the arguments are invalid, 3 if a file cannot be read.");
		parser.addArgument(FILE).metavar("FILE").help("file with the configuration");
		parser.addArgument("--" + AGAINST).metavar("FILE").help("file with the version in force, to compare with");
		parser.addArgument("--" + FORMAT).choices(TEXT, JSON).setDefault(TEXT).help("text or json; default: text");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		ConfigurationDocument candidate = read(arguments.getString(FILE));
		String against = arguments.getString(AGAINST);
		Optional<ConfigurationDocument> inForce = (against != null) ? Optional.of(read(against)) : Optional.empty();
		CheckReport report = StoredConfigurationCheck.check(candidate, inForce);
		if (arguments.getString(FORMAT).equals(JSON)) {
			output.print(CheckReportPrinter.json(report));
		}
		else {
			CheckReportPrinter.printText(report, inForce.isPresent(), output);
		}
		return exitCode(report);
	}

	private static ConfigurationDocument read(String file) throws CommandException {
		try {
			return ConfigurationDocumentReader.read(Files.readAllBytes(Path.of(file)));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.UNREADABLE, "cannot read the file " + file + ": " + ex);
		}
		catch (PlatformFormatException ex) {
			throw new CommandException(ExitCode.UNREADABLE, "cannot read the file " + file + ": " + ex.getMessage());
		}
	}

	private static ExitCode exitCode(CheckReport report) {
		if (report.count(Severity.ERROR) > 0) {
			return ExitCode.ERRORS;
		}
		return (report.count(Severity.WARNING) > 0) ? ExitCode.WARNINGS : ExitCode.SUCCESS;
	}

}
