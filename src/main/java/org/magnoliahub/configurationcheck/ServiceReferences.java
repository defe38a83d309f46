package org.magnoliahub.configurationcheck;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.magnoliahub.configurationcheck.RouteEntry.ShareEntry;
import org.magnoliahub.configurationcheck.RouteEntry.StageEntry;

/**
 * Services that routes and stages refer to are configured, and services of stages have
 * the limits of a stage service.
 */
final class ServiceReferences implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		Map<String, ServiceEntry> services = new HashMap<>();
		configuration.services().value().forEach((service) -> services.put(service.name().value(), service));
		for (RouteEntry route : configuration.routes().value()) {
			for (ShareEntry share : route.shares().value()) {
				checkExists(share.service(), services, findings);
			}
			for (StageEntry stage : route.stages().value()) {
				checkExists(stage.service(), services, findings);
				checkStageService(stage.service(), services, findings);
			}
		}
	}

	private static void checkExists(Field<String> name, Map<String, ServiceEntry> services,
			Consumer<Finding> findings) {
		if (name.present() && !services.containsKey(name.value())) {
			findings.accept(Finding.error(name.path(),
					"expected a configured service, but " + Finding.quote(name.value()) + " is not configured"));
		}
	}

	private static void checkStageService(Field<String> name, Map<String, ServiceEntry> services,
			Consumer<Finding> findings) {
		ServiceEntry service = services.get(name.value());
		if (service != null && service.stageLimits() == null) {
			findings.accept(Finding.error(name.path(), "expected a service that runs pieces, but "
					+ Finding.quote(name.value()) + " has no limits for pieces; the stage cannot run"));
		}
	}

}
