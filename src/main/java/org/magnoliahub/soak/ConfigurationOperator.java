package org.magnoliahub.soak;

import java.util.List;
import java.util.stream.IntStream;

import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.StoreEmulator;

/**
 * Writes versions of the configuration.
 */
final class ConfigurationOperator {

	private final StoreEmulator store;

	private final ConfigurationVersions versions;

	ConfigurationOperator(StoreEmulator store, ConfigurationVersions versions) {
		this.store = store;
		this.versions = versions;
	}

	/**
	 * Writes the next version, which adds a route and a key and drops the oldest ones.
	 */
	synchronized void change() {
		int index = this.versions.begin(Ledger.now());
		write(index);
		this.versions.accepted(index, Ledger.now());
	}

	/**
	 * Writes the newest version again, which the store has lost.
	 */
	synchronized void writeAgain() {
		write(this.versions.newest());
	}

	private void write(int index) {
		List<Integer> kept = IntStream.rangeClosed(ConfigurationVersions.oldestKept(index), index).boxed().toList();
		this.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(ConfigurationVersions.number(index),
						kept.stream().map(ConfigurationVersions::prefix).toList(),
						kept.stream().map(ConfigurationVersions::key).toList()));
	}

}
