package org.magnoliahub.command;

import java.util.List;

/**
 * All subcommands of the binary.
 */
final class Commands {

	private Commands() {
	}

	static List<Command> all() {
		return configuration(CommandContext.create());
	}

	static List<Command> configuration(CommandContext context) {
		return List.of(new ValidateCommand(), new PlanCommand(context), new ApplyCommand(context),
				new HistoryCommand(context), new ShowCommand(context), new RollbackCommand(context),
				new StatusCommand(context));
	}

}
