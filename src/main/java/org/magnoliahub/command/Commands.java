package org.magnoliahub.command;

import java.util.List;

import org.magnoliahub.standin.PlatformStandInCommand;

/**
 * All subcommands of the binary.
 */
final class Commands {

	private Commands() {
	}

	static List<Command> all() {
		return List.of(new PlatformStandInCommand());
	}

}
