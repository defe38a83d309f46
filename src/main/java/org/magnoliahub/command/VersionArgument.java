package org.magnoliahub.command;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The argument that selects a version.
 */
final class VersionArgument {

	private static final String VERSION = "version";

	private VersionArgument() {
	}

	static void declare(ArgumentParser parser) {
		parser.addArgument(VERSION).metavar("VERSION").type(Long.class).help("number of a version, from 1");
	}

	static long read(Namespace arguments, long newest) throws CommandException {
		long version = arguments.getLong(VERSION);
		if (version < 1 || version > newest) {
			throw new CommandException(ExitCode.USAGE,
					"expected a version from 1 to " + newest + ", but was " + version);
		}
		return version;
	}

}
