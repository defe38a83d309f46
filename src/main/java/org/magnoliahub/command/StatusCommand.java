package org.magnoliahub.command;

import java.io.PrintStream;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.configuration.ConfigurationHead;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.model.Configuration;

/**
 * Prints the newest version in the platform.
 */
final class StatusCommand implements Command {

	private final CommandContext context;

	StatusCommand(CommandContext context) {
		this.context = context;
	}

	@Override
	public String name() {
		return "status";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("print the newest version");
		parser.description("Prints the newest version in the platform. The status path of a process states the version"
				+ " in force there.");
		this.context.access().declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		ConfigurationRepository repository = this.context.open(Settings.of(arguments, environment));
		ConfigurationHead head = this.context.await(repository.head());
		if (head.version() == 0) {
			output.println("no version is committed yet");
			return ExitCode.SUCCESS;
		}
		output.println(ChangePrinter.describe(this.context.await(repository.findChange(head.version())).orElseThrow()));
		Configuration configuration = this.context.await(repository.load(head.version()));
		output.println(ValidateCommand.count(configuration));
		output.println("newest snapshot: " + snapshot(repository, head.version()));
		return ExitCode.SUCCESS;
	}

	private String snapshot(ConfigurationRepository repository, long version) {
		try {
			long snapshot = this.context.await(repository.newestSnapshotVersion(version));
			return (snapshot > 0) ? "version " + snapshot : "none";
		}
		catch (CommandException ex) {
			return "unknown, " + ex.getMessage();
		}
	}

}
