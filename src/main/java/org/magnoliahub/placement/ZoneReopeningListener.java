package org.magnoliahub.placement;

/**
 * Receives zones whose evacuation ended. Their servers may be cold.
 */
@FunctionalInterface
public interface ZoneReopeningListener {

	/**
	 * Called when this gateway has read that an evacuation was withdrawn, before it sends
	 * anything to the zone.
	 * @param zone name of the zone
	 * @param now monotonic time, in milliseconds
	 */
	void onZoneReopened(String zone, long now);

}
