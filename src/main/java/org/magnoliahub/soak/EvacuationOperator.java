package org.magnoliahub.soak;

import java.util.List;

import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.StoreEmulator;

/**
 * Writes and removes the rows that evacuate zones.
 */
final class EvacuationOperator {

	private static final String ROW = "{}";

	private final StoreEmulator store;

	private final EvacuationHistory history;

	EvacuationOperator(StoreEmulator store, EvacuationHistory history) {
		this.store = store;
		this.history = history;
	}

	/**
	 * Writes the row of a zone.
	 * @param zone name of the zone
	 * @return the evacuation, to be ended
	 */
	synchronized Evacuation begin(String zone) {
		Evacuation evacuation = new Evacuation(zone, Ledger.now());
		this.history.add(evacuation);
		write(evacuation);
		return evacuation;
	}

	/**
	 * Removes the row of an evacuation.
	 * @param evacuation the evacuation
	 */
	synchronized void end(Evacuation evacuation) {
		evacuation.recordRemoval(Ledger.now());
		this.store.remove(StoreFormat.CONFIGURATION_TABLE, StoreFormat.evacuationKey(evacuation.zone()));
	}

	/**
	 * Writes the rows again that a restored store has lost, and removes those again that
	 * had been removed.
	 */
	synchronized void restoreRows() {
		List<String> present = this.store.keys(StoreFormat.CONFIGURATION_TABLE);
		List<Evacuation> inForce = this.history.evacuations()
			.stream()
			.filter((evacuation) -> evacuation.removedMillis() == Long.MAX_VALUE)
			.toList();
		inForce.stream()
			.filter((evacuation) -> !present.contains(StoreFormat.evacuationKey(evacuation.zone())))
			.forEach(this::write);
		List<String> keys = inForce.stream().map((evacuation) -> StoreFormat.evacuationKey(evacuation.zone())).toList();
		present.stream()
			.filter((key) -> StoreFormat.isEvacuation(key) && !keys.contains(key))
			.forEach((key) -> this.store.remove(StoreFormat.CONFIGURATION_TABLE, key));
	}

	private void write(Evacuation evacuation) {
		this.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.evacuationKey(evacuation.zone()), ROW);
		evacuation.recordWritten(Ledger.now());
	}

}
