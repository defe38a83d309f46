package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * How long pieces wait for an endpoint of the zone that they prefer. A piece waits for
 * its zone while that leaves enough time for its latency objective, since results that
 * move between zones cost more than the wait; otherwise it goes anywhere.
 */
final class ZoneBacklog {

	/** Share of a full call that is kept as a reserve of time. */
	private static final double RESERVE = 0.5;

	private final StageLimits pool;

	private final Map<String, Zone> zones = new HashMap<>();

	ZoneBacklog(StageLimits pool) {
		this.pool = pool;
	}

	/**
	 * Notes an endpoint that gets calls.
	 * @param zone its zone
	 * @param busyMillis rest of its call, in milliseconds
	 * @param freeBytes its room for results
	 */
	void endpoint(String zone, double busyMillis, long freeBytes) {
		Zone known = this.zones.computeIfAbsent(zone, (name) -> new Zone());
		known.endpoints++;
		known.busyMillis = Math.min(known.busyMillis, busyMillis);
		known.freeBytes = Math.max(known.freeBytes, freeBytes);
	}

	/**
	 * Notes a piece that waits.
	 * @param preference where it should be made
	 */
	void waiting(ZonePreference preference) {
		Zone known = this.zones.get(preference.zone());
		if (known != null && preference.justifiesWaiting()) {
			known.waiting++;
		}
	}

	/**
	 * Returns whether a piece may be made in a zone.
	 * @param work the piece's submission
	 * @param zone zone of an endpoint
	 * @param now monotonic time, in milliseconds
	 * @return whether it does not wait for the zone that it prefers
	 */
	boolean mayGo(StageJob work, String zone, long now) {
		ZonePreference preference = work.preference();
		if (!preference.justifiesWaiting() || !preference.isOtherZone(zone)) {
			return true;
		}
		Zone preferred = this.zones.get(preference.zone());
		if (preferred == null || preferred.freeBytes < work.resultBytes()) {
			return true;
		}
		double call = this.pool.expectedMillis(this.pool.maximumBatchSize());
		double callsAhead = Math
			.floor((double) preferred.waiting / (this.pool.maximumBatchSize() * preferred.endpoints));
		double wait = preferred.busyMillis + callsAhead * call;
		return work.startDeadline() - now < wait + RESERVE * call;
	}

	private static final class Zone {

		private int endpoints;

		private double busyMillis = Double.MAX_VALUE;

		private long freeBytes;

		private int waiting;

	}

}
