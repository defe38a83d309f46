package org.magnoliahub.configuration;

import java.time.Duration;
import java.util.Optional;

/**
 * Synchronization state of the configuration in one process.
 *
 * @param version the current version
 * @param ready whether the process has learned a configuration from the store or a peer
 * @param stale whether there was neither a read of the store nor a message of a peer
 * within {@link ConfigurationSynchronizer#STALE_AFTER}
 * @param timeSinceVersionChange time since the version became current in this process
 * @param timeSinceStoreRead time since the last successful read of the store, empty if
 * none
 * @param timeSincePeerMessage time since the last message of a peer that has a
 * configuration, empty if none
 * @param consecutiveFailedPolls number of failed polls since the last successful one
 * @param malformedUpdates number of updates from peers that could not be decoded
 */
public record ConfigurationStatus(long version, boolean ready, boolean stale, Duration timeSinceVersionChange,
		Optional<Duration> timeSinceStoreRead, Optional<Duration> timeSincePeerMessage, long consecutiveFailedPolls,
		long malformedUpdates) {

}
