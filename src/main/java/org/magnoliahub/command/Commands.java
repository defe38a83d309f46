package org.magnoliahub.command;

import java.util.List;

import org.magnoliahub.experiment.ExperimentCommand;

/**
 * All subcommands of the binary.
 */
final class Commands {

	private Commands() {
	}

	static List<Command> all() {
		return List.of(new ExperimentCommand());
	}

}
