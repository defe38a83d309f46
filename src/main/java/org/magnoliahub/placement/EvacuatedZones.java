package org.magnoliahub.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Zones that the operator evacuates, as this gateway has read them from the store.
 * <p>
 * An evacuation ends only when a read shows that its row was removed, so a store that
 * cannot be reached changes nothing. A row that is missing from a store that was restored
 * from an older backup may come back; the evacuation ends when a later read still lacks
 * it.
 */
public final class EvacuatedZones {

	/** Maximum number of evacuated zones, so that rows cannot exhaust the memory. */
	public static final int MAXIMUM_ZONES = 1_000;

	/**
	 * Time for which an evacuation outlasts the loss of its row in a restored store. The
	 * operator writes lost rows again within that time.
	 */
	public static final long RESTORATION_GRACE_MILLIS = 2_200;

	private final Listener listener;

	private final Set<String> zones = new HashSet<>();

	/** Ends of the grace periods of zones whose rows a restored store lacks. */
	private final Map<String, Long> graceEnds = new HashMap<>();

	private long lastReadMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates an empty set of zones.
	 * @param listener receives the changes
	 */
	public EvacuatedZones(Listener listener) {
		this.listener = listener;
	}

	/**
	 * Returns whether a zone is evacuated.
	 * @param zone name of the zone
	 * @return whether its servers must not receive work
	 */
	public boolean contains(String zone) {
		return this.zones.contains(zone);
	}

	/**
	 * Returns the number of evacuated zones.
	 * @return number of zones
	 */
	public int size() {
		return this.zones.size();
	}

	/**
	 * Applies a row that requests an evacuation.
	 * @param zone name of the zone
	 * @return whether the zone is evacuated; {@code false} if there are too many
	 */
	public boolean evacuate(String zone) {
		this.graceEnds.remove(zone);
		if (this.zones.contains(zone)) {
			return true;
		}
		if (this.zones.size() >= MAXIMUM_ZONES) {
			return false;
		}
		this.zones.add(zone);
		this.listener.onZoneEvacuated(zone);
		return true;
	}

	/**
	 * Applies the removal of a row.
	 * @param zone name of the zone
	 * @param now monotonic time, in milliseconds
	 */
	public void reopen(String zone, long now) {
		this.graceEnds.remove(zone);
		if (this.zones.remove(zone)) {
			this.listener.onZoneReopened(zone, now);
		}
	}

	/**
	 * Reopens the zones that are missing from a complete list. Zones in their grace
	 * period remain evacuated.
	 * @param listed zones that the list contains
	 * @param now monotonic time, in milliseconds
	 */
	public void retainAll(Set<String> listed, long now) {
		for (String zone : List.copyOf(this.zones)) {
			if (!listed.contains(zone) && !this.graceEnds.containsKey(zone)) {
				reopen(zone, now);
			}
		}
	}

	/**
	 * Starts a grace period for the zones that are missing from the first complete list
	 * after the store was restored from an older backup.
	 * @param listed zones that the list contains
	 * @param now monotonic time, in milliseconds
	 */
	public void retainAllAfterRestore(Set<String> listed, long now) {
		for (String zone : this.zones) {
			if (!listed.contains(zone)) {
				this.graceEnds.put(zone, now + RESTORATION_GRACE_MILLIS);
				this.listener.onZoneMissing(zone);
			}
		}
	}

	/**
	 * Records that the rows of a response were applied. Reopens the zones whose grace
	 * period was over when the call was sent, because an earlier response may have been
	 * on its way while the row was written again.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordRead(long now) {
		// Each call is sent after the response to the previous one.
		long earliestSendMillis = this.lastReadMillis;
		this.lastReadMillis = now;
		if (this.graceEnds.isEmpty()) {
			return;
		}
		Map.copyOf(this.graceEnds).forEach((zone, end) -> {
			if (earliestSendMillis >= end) {
				reopen(zone, now);
			}
		});
	}

	/**
	 * Receives the changes of the evacuated zones.
	 */
	public interface Listener extends ZoneReopeningListener {

		/**
		 * Called when an evacuation begins.
		 * @param zone name of the zone
		 */
		default void onZoneEvacuated(String zone) {
		}

		/**
		 * Called when a restored store lacks the row of a zone, which remains evacuated
		 * for now.
		 * @param zone name of the zone
		 */
		default void onZoneMissing(String zone) {
		}

	}

}
