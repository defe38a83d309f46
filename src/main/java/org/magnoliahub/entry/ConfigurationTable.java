package org.magnoliahub.entry;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.ConfigurationReader;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.serving.ServingConfiguration;

/**
 * Adopts the operator's configuration. Only a higher version is adopted, so that the one
 * in force never goes back, whatever the store holds.
 */
final class ConfigurationTable implements TableWatcher.Listener {

	private final ConfigurationReader reader = new ConfigurationReader();

	private final EntryLog log;

	private final StoreRestorationReport restoration;

	private final Consumer<ServingConfiguration> adopted;

	private @Nullable ServingConfiguration inForce;

	/**
	 * Creates a table without a configuration.
	 * @param log the log
	 * @param restoration learns of the version after the store came back from an older
	 * copy
	 * @param adopted receives each configuration that comes into force
	 */
	ConfigurationTable(EntryLog log, StoreRestorationReport restoration, Consumer<ServingConfiguration> adopted) {
		this.log = log;
		this.restoration = restoration;
		this.adopted = adopted;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one
	 */
	Optional<ServingConfiguration> inForce() {
		return Optional.ofNullable(this.inForce);
	}

	/**
	 * Returns the version in force.
	 * @return the version, zero before the first one
	 */
	long version() {
		return (this.inForce != null) ? this.inForce.version() : 0;
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		long listed = apply(rows);
		if (restored) {
			this.restoration.configuration(listed, version());
		}
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		apply(rows);
	}

	// Returns the newest version among the rows, zero if there is none.
	private long apply(List<StoredRow> rows) {
		long newest = 0;
		for (StoredRow row : rows) {
			if (!row.key().equals(StoreFormat.CONFIGURATION_KEY) || row.removed()) {
				continue;
			}
			try {
				ServingConfiguration read = this.reader.read(row.value());
				newest = Math.max(newest, read.version());
				adopt(read);
			}
			catch (PlatformFormatException ex) {
				this.log.event(EntryEvent.CONFIGURATION_REJECTED).field("reason", ex.getMessage()).write();
			}
		}
		return newest;
	}

	private void adopt(ServingConfiguration newer) {
		long previous = version();
		if (this.inForce != null && newer.version() <= previous) {
			return;
		}
		this.inForce = newer;
		this.log.event(EntryEvent.CONFIGURATION_ADOPTED)
			.field("version", newer.version())
			.field("previous", previous)
			.write();
		this.adopted.accept(newer);
	}

}
