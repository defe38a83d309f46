package org.magnoliahub.command;

import net.sourceforge.argparse4j.inf.ArgumentParser;

/**
 * How commands reach the services of the platform.
 */
public interface PlatformAccess {

	/**
	 * Declares the settings that {@link #open} reads.
	 * @param parser the command's parser
	 */
	void declare(ArgumentParser parser);

	/**
	 * Reads the settings, checks all of them and opens the services. Messages of the
	 * exception contain no credentials.
	 * @param settings the settings
	 * @return the services
	 * @throws CommandException if a setting is faulty or a service cannot be opened
	 */
	Platform open(Settings settings) throws CommandException;

}
