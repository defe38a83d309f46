package org.magnoliahub.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.EvacuatedZones;
import org.magnoliahub.placement.Placement;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.time.Timers;

/**
 * Applies the rows of the operator's table: the evacuations of zones, and then the
 * configuration, so that a configuration that cannot be applied delays no evacuation.
 */
final class OperatorTable implements TableWatcher.Listener {

	private final ConfigurationTable configurationTable;

	private final Placement placement;

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final RejectedRows rejectedRows;

	/** Created for the first evacuation, so that a start loads as few classes. */
	private @Nullable EvacuatedZones evacuatedZones;

	private boolean namelessRowLogged;

	private boolean excessRowLogged;

	/**
	 * Creates a table without rows.
	 * @param configurationTable receives all rows after the evacuations were applied
	 * @param placement gets the evacuated zones
	 * @param timers the timer service
	 * @param log the log
	 * @param metrics counts the changes
	 */
	OperatorTable(ConfigurationTable configurationTable, Placement placement, Timers timers, EntryLog log,
			EntryMetrics metrics) {
		this.configurationTable = configurationTable;
		this.placement = placement;
		this.timers = timers;
		this.log = log;
		this.metrics = metrics;
		this.rejectedRows = new RejectedRows(log, StoreFormat.CONFIGURATION_TABLE);
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		replaceZones(rows, restored);
		applyZones(rows);
		this.configurationTable.onList(rows, restored);
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		applyZones(rows);
		this.configurationTable.onChanges(rows);
	}

	private void replaceZones(List<StoredRow> rows, boolean restored) {
		EvacuatedZones zones = this.evacuatedZones;
		if (zones == null) {
			return;
		}
		Set<String> listed = new HashSet<>();
		for (StoredRow row : rows) {
			if (!row.removed() && StoreFormat.isEvacuation(row.key())) {
				listed.add(StoreFormat.evacuatedZone(row.key()));
			}
		}
		if (restored) {
			zones.retainAllAfterRestore(listed, this.timers.milliTime());
			return;
		}
		zones.retainAll(listed, this.timers.milliTime());
	}

	private void applyZones(List<StoredRow> rows) {
		for (StoredRow row : rows) {
			if (StoreFormat.isEvacuation(row.key())) {
				apply(row);
			}
		}
		if (this.evacuatedZones != null) {
			this.evacuatedZones.recordRead(this.timers.milliTime());
		}
	}

	private void apply(StoredRow row) {
		String zone = StoreFormat.evacuatedZone(row.key());
		if (zone.isEmpty()) {
			logNamelessRow(row);
			return;
		}
		if (row.removed()) {
			if (this.evacuatedZones != null) {
				this.evacuatedZones.reopen(zone, this.timers.milliTime());
			}
			return;
		}
		if (!zones().evacuate(zone)) {
			logExcessRow(row);
		}
	}

	private EvacuatedZones zones() {
		EvacuatedZones zones = this.evacuatedZones;
		if (zones == null) {
			zones = ZoneEvacuationReport.createZones(this.placement, this.log, this.metrics);
			this.evacuatedZones = zones;
			this.placement.setEvacuatedZones(zones);
		}
		return zones;
	}

	private void logNamelessRow(StoredRow row) {
		if (!this.namelessRowLogged) {
			this.namelessRowLogged = true;
			this.rejectedRows.add(row, "no name of a zone");
		}
	}

	private void logExcessRow(StoredRow row) {
		if (!this.excessRowLogged) {
			this.excessRowLogged = true;
			this.rejectedRows.add(row, "more than " + EvacuatedZones.MAXIMUM_ZONES + " zones");
		}
	}

}
