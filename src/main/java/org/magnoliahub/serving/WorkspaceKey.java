package org.magnoliahub.serving;

/**
 * What a key stands for.
 *
 * @param workspace name of the workspace that holds the key
 */
public record WorkspaceKey(String workspace) {
}
