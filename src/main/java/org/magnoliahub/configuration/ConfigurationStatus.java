package org.magnoliahub.configuration;

import java.time.Duration;
import java.util.Optional;

/**
 * State of the configuration in one process.
 *
 * @param version the version in force
 * @param ready whether the process has learned a configuration from the store or a peer
 * @param stale whether neither the store nor a peer has been heard of for
 * {@link ConfigurationHolder#STALE_AFTER}
 * @param inForceFor how long the version has been in force in this process
 * @param storeHeardAgo time since the last successful read of the store, empty if none
 * @param peerHeardAgo time since the last message of a ready peer, empty if none
 * @param failedPolls consecutive failed reads of the store
 * @param refusedUpdates updates from peers that could not be decoded
 */
public record ConfigurationStatus(long version, boolean ready, boolean stale, Duration inForceFor,
		Optional<Duration> storeHeardAgo, Optional<Duration> peerHeardAgo, long failedPolls, long refusedUpdates) {

}
