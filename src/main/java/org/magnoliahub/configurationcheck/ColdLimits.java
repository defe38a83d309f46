package org.magnoliahub.configurationcheck;

import java.util.function.Consumer;

/**
 * A service whose servers start cold has a limit for cold servers.
 */
final class ColdLimits implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		for (ServiceEntry service : configuration.services().value()) {
			if (service.coldSeconds().value() > 0 && service.coldRate().value() <= 0) {
				findings.accept(Finding.warning(service.coldSeconds().path(), "has no effect, because "
						+ service.coldRate().name() + " is absent or 0; cold servers are not protected"));
			}
		}
	}

}
