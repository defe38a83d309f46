package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The routes of one host by path prefix. The time of a look-up grows with the number of
 * slashes in the path, not with the number of routes.
 */
final class HostRoutes {

	private final Map<String, Route> byPrefix = new HashMap<>();

	private int longestPrefix;

	/**
	 * Adds a route; of two routes with one prefix the first stays.
	 * @param route a route whose prefix ends with a slash
	 */
	void add(Route route) {
		this.byPrefix.putIfAbsent(route.pathPrefix(), route);
		this.longestPrefix = Math.max(this.longestPrefix, route.pathPrefix().length());
	}

	/**
	 * Finds the route with the longest prefix that begins a path.
	 * @param path the path, without a query
	 * @return the route, or {@code null} if none matches
	 */
	@Nullable Route longestMatch(String path) {
		int slash = path.lastIndexOf('/', this.longestPrefix - 1);
		while (slash >= 0) {
			Route route = this.byPrefix.get(path.substring(0, slash + 1));
			if (route != null) {
				return route;
			}
			slash = path.lastIndexOf('/', slash - 1);
		}
		return null;
	}

}
