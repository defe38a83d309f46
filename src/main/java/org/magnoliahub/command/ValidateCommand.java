package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.declaration.DeclarationFault;
import org.magnoliahub.declaration.DeclarationReader;
import org.magnoliahub.declaration.Declarations;
import org.magnoliahub.model.Configuration;

/**
 * Checks the declarations of a directory without the platform.
 */
final class ValidateCommand implements Command {

	private static final String DIRECTORY = "directory";

	static void declareDirectory(ArgumentParser parser) {
		parser.addArgument(DIRECTORY).metavar("DIR").help("directory with declarations (*.yaml, *.yml)");
	}

	/**
	 * Reads declarations without faults.
	 * @param arguments the command's arguments
	 * @return the declarations
	 * @throws CommandException if a file cannot be read or has a fault
	 */
	static Declarations read(Namespace arguments) throws CommandException {
		Path directory = Path.of(arguments.getString(DIRECTORY));
		Declarations declarations;
		try {
			declarations = DeclarationReader.read(directory);
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "cannot read the declarations in " + directory + ": " + ex);
		}
		if (declarations.fileCount() == 0) {
			throw new CommandException(ExitCode.USAGE,
					"expected at least one file *.yaml or *.yml in " + directory + ", but there is none");
		}
		if (!declarations.faults().isEmpty()) {
			throw new CommandException(ExitCode.USAGE, "faults in " + directory + ": " + declarations.faults().size()
					+ "\n  "
					+ String.join("\n  ", declarations.faults().stream().map(DeclarationFault::toString).toList()));
		}
		return declarations;
	}

	static String count(Configuration configuration) {
		return "pipelines: " + configuration.pipelines().size() + ", request classes: "
				+ configuration.requestClasses().size() + ", endpoints: " + configuration.endpoints().size()
				+ ", workspaces: " + configuration.workspaces().size();
	}

	@Override
	public String name() {
		return "validate";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("check declarations");
		parser.description("Checks declarations and reports all faults with file and line.");
		declareDirectory(parser);
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Declarations declarations = read(arguments);
		output.println("valid files: " + declarations.fileCount() + "; " + count(declarations.configuration()));
		return ExitCode.SUCCESS;
	}

}
