package org.magnoliahub.command;

import java.io.PrintStream;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.configuration.ConfigurationChange;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.declaration.DeclarationWriter;
import org.magnoliahub.model.Configuration;

/**
 * Prints a version in the form of declarations.
 */
final class ShowCommand implements Command {

	private final CommandContext context;

	ShowCommand(CommandContext context) {
		this.context = context;
	}

	@Override
	public String name() {
		return "show";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("print a version");
		parser.description("Prints all items of a version as a declaration file, with its author as comment.");
		VersionArgument.declare(parser);
		this.context.access().declare(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		ConfigurationRepository repository = this.context.open(Settings.of(arguments, environment));
		long version = VersionArgument.read(arguments, this.context.await(repository.head()).version());
		Configuration configuration = this.context.await(repository.load(version));
		ConfigurationChange change = this.context.await(repository.findChange(version)).orElseThrow();
		output.println("# " + ChangePrinter.describe(change));
		if (!change.comment().isEmpty()) {
			output.println("# " + ChangePrinter.printable(change.comment()));
		}
		output.print(DeclarationWriter.write(configuration));
		return ExitCode.SUCCESS;
	}

}
