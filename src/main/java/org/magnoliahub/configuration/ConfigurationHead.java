package org.magnoliahub.configuration;

/**
 * Newest configuration version in the store.
 *
 * @param version the version, 0 before the first commit
 * @param changeId id of the change that created it, empty before the first commit
 * @param revision store revision of the row that holds the head, 0 before the first
 * commit
 */
public record ConfigurationHead(long version, String changeId, long revision) {

}
