package org.magnoliahub.serving;

import java.util.List;

/**
 * Estimates how long new pieces of a stage service wait, from the throughput of its
 * healthy endpoints and the free capacity for results.
 */
final class StageLoadEstimator {

	/** Expected wait that is reported if the service has no healthy endpoint. */
	private static final long NO_ENDPOINT_WAIT_MILLIS = 60_000;

	private final String service;

	private final EndpointDirectory directory;

	private final AnnouncedPieces announcedPieces;

	private final StoredResults storedResults;

	private final StageCapacity capacity;

	StageLoadEstimator(String service, EndpointDirectory directory, AnnouncedPieces announcedPieces,
			StoredResults storedResults, StageCapacity capacity) {
		this.service = service;
		this.directory = directory;
		this.announcedPieces = announcedPieces;
		this.storedResults = storedResults;
		this.capacity = capacity;
	}

	/**
	 * Returns the time that the endpoints need for the queued and announced pieces.
	 * @param contents queued and running pieces
	 * @param limits limits of the service
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds; if there is no healthy endpoint, the time until a requested
	 * pause ends, or a large value if pieces are queued
	 */
	double expectedWaitMillis(Contents contents, StageLimits limits, long now) {
		this.announcedPieces.removeExpired(now);
		return isIdle(contents) ? pausedMillis(now)
				: throughputWaitMillis(contents, limits, healthyEndpoints(now), now);
	}

	/**
	 * Returns the load of the queue.
	 * @param contents queued and running pieces
	 * @param limits limits of the service
	 * @param now monotonic time, in milliseconds
	 * @return the load
	 */
	StageLoad load(Contents contents, StageLimits limits, long now) {
		this.announcedPieces.removeExpired(now);
		long paused = pausedMillis(now);
		if (isIdle(contents)) {
			return new StageLoad(paused, 0, paused);
		}
		List<EndpointState> healthy = healthyEndpoints(now);
		return new StageLoad((long) throughputWaitMillis(contents, limits, healthy, now),
				(long) capacityWaitMillis(contents, limits, healthy, now), paused);
	}

	private double throughputWaitMillis(Contents contents, StageLimits limits, List<EndpointState> healthy, long now) {
		if (healthy.isEmpty()) {
			long withoutEndpoint = (contents.queuedPieces() == 0) ? 0 : NO_ENDPOINT_WAIT_MILLIS;
			long paused = pausedMillis(now);
			return (paused > 0) ? paused : withoutEndpoint;
		}
		int pieces = contents.queuedPieces() + this.announcedPieces.pieces();
		return pieces / StageCapacity.piecesPerMillisecond(healthy, limits, now);
	}

	private double capacityWaitMillis(Contents contents, StageLimits limits, List<EndpointState> healthy, long now) {
		if (healthy.isEmpty()) {
			return 0;
		}
		long bytes = this.announcedPieces.bytes() + contents.resultBytes();
		for (EndpointState endpoint : healthy) {
			bytes += this.storedResults.bytes(endpoint.record().id(), now);
		}
		return this.capacity.capacityWaitMillis(healthy.size(), limits, bytes);
	}

	private boolean isIdle(Contents contents) {
		return contents.queuedPieces() == 0 && this.announcedPieces.isEmpty();
	}

	private List<EndpointState> healthyEndpoints(long now) {
		return HealthyEndpoints.filterHealthy(this.directory.availableEndpoints(this.service, now), now);
	}

	private long pausedMillis(long now) {
		return this.directory.pausedMillis(this.service, now);
	}

	/**
	 * Pieces in a queue.
	 *
	 * @param queuedPieces number of queued pieces
	 * @param resultBytes total size of the results of queued and running pieces, in bytes
	 */
	record Contents(int queuedPieces, long resultBytes) {
	}

}
