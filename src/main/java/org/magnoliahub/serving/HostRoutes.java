package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Routes of one host by path prefix. The cost of a lookup grows with the number of
 * slashes in the path, not with the number of routes.
 */
final class HostRoutes {

	private final Map<String, Route> routesByPrefix = new HashMap<>();

	private int longestPrefix;

	/**
	 * Adds a route. If two routes have the same prefix, the first one is kept.
	 * @param route route whose prefix ends with a slash
	 */
	void add(Route route) {
		this.routesByPrefix.putIfAbsent(route.pathPrefix(), route);
		this.longestPrefix = Math.max(this.longestPrefix, route.pathPrefix().length());
	}

	/**
	 * Finds the route with the longest matching prefix.
	 * @param path request path without a query
	 * @return the route, or {@code null} if none matches
	 */
	@Nullable Route longestMatch(String path) {
		int slash = path.lastIndexOf('/', this.longestPrefix - 1);
		while (slash >= 0) {
			Route route = this.routesByPrefix.get(path.substring(0, slash + 1));
			if (route != null) {
				return route;
			}
			slash = path.lastIndexOf('/', slash - 1);
		}
		return null;
	}

}
