package org.magnoliahub.model;

/**
 * A tenant of the system, with its share of the capacity and its request limit.
 *
 * @param name the workspace's name, not blank
 * @param weight share of contended capacity relative to other workspaces, from 1 to
 * 1,000,000
 * @param maximumConcurrentRequests maximum number of requests in flight at one gateway,
 * from 1 to 1,000,000
 */
public record Workspace(String name, int weight, int maximumConcurrentRequests) {

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if the name is blank or a number is out of range
	 */
	public Workspace {
		Arguments.requireText(name, "workspace name");
		Arguments.requireRange(weight, 1, 1_000_000, "weight of workspace " + name);
		Arguments.requireRange(maximumConcurrentRequests, 1, 1_000_000, "request limit of workspace " + name);
	}

}
