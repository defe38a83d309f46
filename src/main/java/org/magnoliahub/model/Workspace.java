package org.magnoliahub.model;

/**
 * A tenant of the system with its share and its limit.
 *
 * @param name the workspace's name, not blank
 * @param weight its share of contended capacity relative to other workspaces, at least 1
 * @param maximumConcurrentRequests most requests in flight at one gateway, at least 1
 */
public record Workspace(String name, int weight, int maximumConcurrentRequests) {

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if the name is blank or a number is below 1
	 */
	public Workspace {
		Arguments.requireText(name, "workspace name");
		Arguments.requireRange(weight, 1, 1_000_000, "weight of workspace " + name);
		Arguments.requireRange(maximumConcurrentRequests, 1, 1_000_000, "request limit of workspace " + name);
	}

}
