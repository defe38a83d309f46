package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the wait of pieces for an endpoint in their preferred zone. A piece waits for
 * its zone as long as it can still meet its latency objective, because a transfer of
 * results between zones costs more than the wait. Otherwise it can run in any zone.
 */
final class ZoneBacklog {

	/** Safety margin for the wait, as a share of the duration of a full batch. */
	private static final double RESERVE_SHARE = 0.5;

	private final StageLimits limits;

	private final Map<String, Zone> zones = new HashMap<>();

	ZoneBacklog(StageLimits limits) {
		this.limits = limits;
	}

	/**
	 * Adds an endpoint that receives batches.
	 * @param zone zone of the endpoint
	 * @param busyMillis expected remaining time of its running batch, in milliseconds;
	 * zero if it has none
	 * @param freeBytes free result capacity, in bytes
	 */
	void addEndpoint(String zone, double busyMillis, long freeBytes) {
		Zone known = this.zones.computeIfAbsent(zone, (name) -> new Zone());
		known.endpoints++;
		known.busyMillis = Math.min(known.busyMillis, busyMillis);
		known.freeBytes = Math.max(known.freeBytes, freeBytes);
	}

	/**
	 * Adds a queued piece.
	 * @param preference preferred zone of the piece
	 */
	void addWaitingPiece(ZonePreference preference) {
		Zone known = this.zones.get(preference.zone());
		if (known != null && preference.justifiesWaiting()) {
			known.waiting++;
		}
	}

	/**
	 * Returns whether a piece may be processed in a zone.
	 * @param job job of the piece
	 * @param zone zone of an endpoint
	 * @param now monotonic time, in milliseconds
	 * @return whether the piece need not wait for its preferred zone
	 */
	boolean mayRunIn(StageJob job, String zone, long now) {
		ZonePreference preference = job.zonePreference();
		if (!preference.justifiesWaiting() || !preference.isOtherZone(zone)
				|| !job.allowedZones().contains(preference.zone())) {
			return true;
		}
		Zone preferred = this.zones.get(preference.zone());
		if (preferred == null || preferred.freeBytes < job.resultBytes()) {
			return true;
		}
		double batchMillis = this.limits.expectedMillis(this.limits.maximumBatchSize());
		double batchesAhead = Math
			.floor((double) preferred.waiting / (this.limits.maximumBatchSize() * preferred.endpoints));
		double wait = preferred.busyMillis + batchesAhead * batchMillis;
		return job.startDeadline() - now < wait + RESERVE_SHARE * batchMillis;
	}

	private static final class Zone {

		private int endpoints;

		private double busyMillis = Double.MAX_VALUE;

		private long freeBytes;

		private int waiting;

	}

}
