package org.magnoliahub.configurationcheck;

import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Hosts of routes have no port. Gateways remove the port of the Host header before they
 * look for a route.
 */
final class RouteHosts implements Rule {

	private static final Pattern PORT = Pattern.compile(":[0-9]*$");

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		for (RouteEntry route : configuration.routes().value()) {
			if (PORT.matcher(route.host().value()).find()) {
				findings.accept(Finding.error(route.host().path(), "expected a host without a port, but it is "
						+ Finding.quote(route.host().value()) + "; no request matches the route"));
			}
		}
	}

}
