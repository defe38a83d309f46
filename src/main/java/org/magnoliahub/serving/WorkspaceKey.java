package org.magnoliahub.serving;

/**
 * Workspace that an API key belongs to.
 *
 * @param workspace name of the workspace
 */
public record WorkspaceKey(String workspace) {
}
