package org.magnoliahub.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.configuration.ConfigurationEdits;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.model.Configuration;

/**
 * Commits a new version with the content of an old one.
 */
final class RollbackCommand implements Command {

	private final CommandContext context;

	RollbackCommand(CommandContext context) {
		this.context = context;
	}

	@Override
	public String name() {
		return "rollback";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("commit the content of an old version again");
		parser.description("Commits a new version with the content of an old one. Repeating it is safe.");
		VersionArgument.declare(parser);
		ChangeCommit.declare(parser);
		this.context.access().declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		ChangeCommit commit = ChangeCommit.of(this.context, settings,
				"rollback to version " + arguments.getLong("version"));
		ConfigurationRepository repository = this.context.open(settings);
		Configuration newest = this.context.await(repository.load());
		long version = VersionArgument.read(arguments, newest.version());
		List<ItemChange> items = ConfigurationEdits.difference(newest, this.context.await(repository.load(version)));
		if (items.isEmpty()) {
			output.println("version " + newest.version() + " has the content of version " + version
					+ " already; nothing is committed");
			return ExitCode.SUCCESS;
		}
		ChangePrinter.printItems(newest, items, output);
		return commit.run(repository, this.context.changeIds().get(), newest.version(), items, output);
	}

}
