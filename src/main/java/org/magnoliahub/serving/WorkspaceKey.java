package org.magnoliahub.serving;

import java.util.Set;

/**
 * Workspace that an API key belongs to.
 *
 * @param workspace name of the workspace
 * @param allowedRegions regions in which its requests may be served, empty for all
 */
public record WorkspaceKey(String workspace, Set<String> allowedRegions) {

	/**
	 * Creates a key with an immutable copy of the regions.
	 */
	public WorkspaceKey {
		allowedRegions = Set.copyOf(allowedRegions);
	}

}
