package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.configuration.ConfigurationCodec;
import org.magnoliahub.configuration.ConfigurationEdits;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.declaration.Declarations;
import org.magnoliahub.model.Configuration;

/**
 * Shows the difference between declarations and the newest version.
 */
final class PlanCommand implements Command {

	private static final String PLAN_FILE = "--plan-file";

	private static final String DEFAULT_PLAN_FILE = "plan.json";

	private final CommandContext context;

	PlanCommand(CommandContext context) {
		this.context = context;
	}

	@Override
	public String name() {
		return "plan";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("show what declarations would change");
		parser.description("Shows what would change if the newest version had exactly the declared items,"
				+ " and writes a plan file for 'apply'. Items that are not declared are removed.");
		ValidateCommand.declareDirectory(parser);
		Settings.declare(parser, PLAN_FILE, "plan file to write, default " + DEFAULT_PLAN_FILE);
		this.context.access().declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		Path file = Path.of(settings.optionalText(PLAN_FILE).orElse(DEFAULT_PLAN_FILE));
		ConfigurationRepository repository = this.context.open(settings);
		Declarations declarations = ValidateCommand.read(arguments);
		Configuration newest = this.context.await(repository.load());
		List<ItemChange> items = ConfigurationEdits.difference(newest, declarations.configuration());
		if (items.isEmpty()) {
			output.println("version " + newest.version() + " has exactly the declared items; no plan file is written");
			return ExitCode.SUCCESS;
		}
		PlanFile plan = PlanFile.of(this.context.changeIds().get(), newest.version(), items);
		String text = ConfigurationCodec.encode(plan);
		if (text.length() > ConfigurationRepository.MAXIMUM_CHANGE_CHARACTERS) {
			throw new CommandException(ExitCode.USAGE, ChangeCommit.tooLarge(items.size()));
		}
		write(file, text);
		ChangePrinter.printItems(newest, items, output);
		output.println("plan on version " + newest.version() + " with content hash " + plan.contentHash()
				+ " is written to " + file);
		return ExitCode.SUCCESS;
	}

	private static void write(Path file, String text) throws CommandException {
		try {
			Files.writeString(file, text + "\n");
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILURE, "cannot write the plan file " + file + ": " + ex);
		}
	}

}
