package org.magnoliahub.configuration;

/**
 * The newest version.
 *
 * @param version the version, 0 before the first commit
 * @param changeId id of the change that created it, empty before the first commit
 * @param revision revision of the head row, 0 before the first commit
 */
public record ConfigurationHead(long version, String changeId, long revision) {

}
