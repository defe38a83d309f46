package org.magnoliahub.placement;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Where work may be sent. Without an evacuation every zone may receive work of requests
 * that have no homes.
 */
public final class Placement {

	private final Map<String, String> regionsByZone;

	/** Absent before the first evacuation, so that a start loads as few classes. */
	private @Nullable EvacuatedZones evacuatedZones;

	private @Nullable ZoneReopeningListener reopeningListener;

	/**
	 * Creates a placement in which no zone belongs to a region.
	 */
	public Placement() {
		this(Map.of());
	}

	/**
	 * Creates a placement.
	 * @param regionsByZone the region of each zone; a zone without one is no home
	 */
	public Placement(Map<String, String> regionsByZone) {
		this.regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * Returns the zones in which a request may be served.
	 * @param routeRegions regions that its route allows, empty for all
	 * @param workspaceRegions regions that its workspace allows, empty for all
	 * @return the zones of the regions that both allow
	 */
	public AllowedZones allowedZones(Set<String> routeRegions, Set<String> workspaceRegions) {
		if (routeRegions.isEmpty() && workspaceRegions.isEmpty()) {
			return AllowedZones.ALL;
		}
		Set<String> zones = new HashSet<>();
		this.regionsByZone.forEach((zone, region) -> {
			if (isAllowed(routeRegions, region) && isAllowed(workspaceRegions, region)) {
				zones.add(zone);
			}
		});
		return new AllowedZones(zones);
	}

	private static boolean isAllowed(Set<String> regions, String region) {
		return regions.isEmpty() || regions.contains(region);
	}

	/**
	 * Sets the zones that the operator evacuates.
	 * @param zones the zones, which may change later
	 */
	public void setEvacuatedZones(EvacuatedZones zones) {
		this.evacuatedZones = zones;
	}

	/**
	 * Sets the listener that receives the zones whose evacuation ended.
	 * @param listener the listener
	 */
	public void setReopeningListener(ZoneReopeningListener listener) {
		this.reopeningListener = listener;
	}

	/**
	 * Reports the end of an evacuation to the listener, if there is one.
	 * @param zone name of the zone
	 * @param now monotonic time, in milliseconds
	 */
	public void reportReopened(String zone, long now) {
		if (this.reopeningListener != null) {
			this.reopeningListener.onZoneReopened(zone, now);
		}
	}

	/**
	 * Returns whether a zone is evacuated.
	 * @param zone name of the zone
	 * @return whether its servers must not receive work
	 */
	public boolean isEvacuated(String zone) {
		EvacuatedZones zones = this.evacuatedZones;
		return zones != null && zones.contains(zone);
	}

	/**
	 * Returns the number of evacuated zones.
	 * @return number of zones
	 */
	public int evacuatedCount() {
		EvacuatedZones zones = this.evacuatedZones;
		return (zones != null) ? zones.size() : 0;
	}

}
