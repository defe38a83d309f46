package org.magnoliahub.command;

import io.reactivex.rxjava3.schedulers.Schedulers;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/**
 * Reaches the platform over HTTP.
 */
final class HttpPlatformAccess implements PlatformAccess {

	@Override
	public void declare(ArgumentParser parser) {
		PlatformSettings.declare(parser);
	}

	@Override
	public Platform open(Settings settings) throws CommandException {
		PlatformSettings platform = PlatformSettings.read(settings);
		settings.check();
		return new Platform(platform.tableStore(Schedulers.single()), platform.objectStore(Schedulers.single()));
	}

}
