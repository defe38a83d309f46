package org.magnoliahub.command;

import net.sourceforge.argparse4j.inf.ArgumentParser;

/**
 * Reaches the platform over HTTP.
 */
final class HttpPlatformAccess implements PlatformAccess {

	private static final String TABLE_STORE_URL = "--table-store-url";

	private static final String OBJECT_STORE_URL = "--object-store-url";

	@Override
	public void declare(ArgumentParser parser) {
		Settings.declare(parser, TABLE_STORE_URL, "URL of the table service, required");
		Settings.declare(parser, OBJECT_STORE_URL, "URL of the object store, required");
	}

	@Override
	public Platform open(Settings settings) throws CommandException {
		settings.requiredText(TABLE_STORE_URL);
		settings.requiredText(OBJECT_STORE_URL);
		settings.check();
		throw new CommandException(ExitCode.UNAVAILABLE, "this build has no HTTP adapters to the platform");
	}

}
