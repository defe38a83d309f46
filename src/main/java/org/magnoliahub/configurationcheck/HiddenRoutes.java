package org.magnoliahub.configurationcheck;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * No two routes have the same host and prefix. Gateways use the first one only.
 */
final class HiddenRoutes implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		Map<Address, RouteEntry> routes = new HashMap<>();
		for (RouteEntry route : configuration.routes().value()) {
			if (!route.host().present() || !route.pathPrefix().present()) {
				continue;
			}
			Address address = new Address(route.host().value().toLowerCase(Locale.ROOT), route.pathPrefix().value());
			RouteEntry first = routes.putIfAbsent(address, route);
			if (first != null) {
				findings.accept(Finding.error(route.pathPrefix().path(),
						"no request matches the route, because " + first.pathPrefix().path()
								+ " is the same prefix of the same host in route "
								+ Finding.quote(first.name().value())));
			}
		}
	}

	private record Address(String host, String pathPrefix) {
	}

}
