package org.magnoliahub.entry;

import org.magnoliahub.placement.EvacuatedZones;
import org.magnoliahub.placement.Placement;

/**
 * Logs and counts the changes of evacuated zones, and passes on which zones were
 * reopened.
 */
final class ZoneEvacuationReport implements EvacuatedZones.Listener {

	private final Placement placement;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private ZoneEvacuationReport(Placement placement, EntryLog log, EntryMetrics metrics) {
		this.placement = placement;
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Creates an empty set of zones whose changes are reported.
	 * @param placement passes on which zones were reopened
	 * @param log the log
	 * @param metrics counts the changes
	 * @return the zones
	 */
	static EvacuatedZones createZones(Placement placement, EntryLog log, EntryMetrics metrics) {
		return new EvacuatedZones(new ZoneEvacuationReport(placement, log, metrics));
	}

	@Override
	public void onZoneEvacuated(String zone) {
		report(zone, "evacuated");
	}

	@Override
	public void onZoneMissing(String zone) {
		report(zone, "missing");
	}

	@Override
	public void onZoneReopened(String zone, long now) {
		report(zone, "reopened");
		this.placement.reportReopened(zone, now);
	}

	private void report(String zone, String state) {
		this.metrics.zoneEvacuation(state);
		this.log.event(EntryEvent.ZONE_EVACUATION).field("zone", zone).field("state", state).write();
	}

}
