package org.magnoliahub.configurationcheck;

import java.util.function.Consumer;

/**
 * Path prefixes begin and end with a slash. Gateways cut the paths of requests only after
 * slashes, so no request matches another prefix.
 */
final class PathPrefixes implements Rule {

	private static final String SLASH = "/";

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		for (RouteEntry route : configuration.routes().value()) {
			Field<String> prefix = route.pathPrefix();
			boolean valid = prefix.value().startsWith(SLASH) && prefix.value().endsWith(SLASH);
			if (prefix.present() && !valid) {
				findings.accept(Finding.error(prefix.path(), "expected a prefix that begins and ends with a slash,"
						+ " but it is " + Finding.quote(prefix.value()) + "; no request matches the route"));
			}
		}
	}

}
