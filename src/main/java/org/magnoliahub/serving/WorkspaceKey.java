package org.magnoliahub.serving;

import java.util.OptionalInt;
import java.util.Set;

/**
 * Workspace that an API key belongs to.
 *
 * @param workspace name of the workspace
 * @param allowedRegions regions in which its requests may be served, empty for all
 * @param priority priority of its requests in place of that of their route, empty if the
 * route decides
 */
public record WorkspaceKey(String workspace, Set<String> allowedRegions, OptionalInt priority) {

	/**
	 * Creates a key with an immutable copy of the regions.
	 */
	public WorkspaceKey {
		allowedRegions = Set.copyOf(allowedRegions);
	}

	/**
	 * Returns a route as it applies to requests with this key.
	 * @param route the route that the request matches
	 * @return the route with the priority of the workspace, if it has one
	 */
	public Route applyTo(Route route) {
		return route.withPriority(this.priority.orElse(route.priority()));
	}

}
