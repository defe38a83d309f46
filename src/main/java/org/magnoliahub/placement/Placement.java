package org.magnoliahub.placement;

import org.jspecify.annotations.Nullable;

/**
 * Where work may be sent. Without an evacuation every zone may receive it.
 */
public final class Placement {

	/** Absent before the first evacuation, so that a start loads as few classes. */
	private @Nullable EvacuatedZones evacuatedZones;

	/**
	 * Sets the zones that the operator evacuates.
	 * @param zones the zones, which may change later
	 */
	public void setEvacuatedZones(EvacuatedZones zones) {
		this.evacuatedZones = zones;
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
