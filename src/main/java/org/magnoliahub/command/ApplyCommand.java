package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.configuration.ConfigurationRepository;

/**
 * Commits exactly the change of a plan file.
 */
final class ApplyCommand implements Command {

	private static final String PLAN = "plan";

	private final CommandContext context;

	ApplyCommand(CommandContext context) {
		this.context = context;
	}

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("commit a plan");
		parser.description("Commits exactly the change of a plan file, or fails with exit code 3 if a newer version"
				+ " exists. Repeating it is safe.");
		parser.addArgument(PLAN).metavar("PLAN").help("plan file written by 'plan'");
		ChangeCommit.declare(parser);
		this.context.access().declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		ChangeCommit commit = ChangeCommit.of(this.context, settings, "");
		ConfigurationRepository repository = this.context.open(settings);
		PlanFile.Content plan = PlanFile.parse(read(Path.of(arguments.getString(PLAN)))).content();
		return commit.run(repository, plan.changeId(), plan.baseVersion(), plan.items(), output);
	}

	private static String read(Path file) throws CommandException {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "cannot read the plan file " + file + ": " + ex);
		}
	}

}
