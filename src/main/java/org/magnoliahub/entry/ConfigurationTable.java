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
 * Adopts the operator's configuration. Only a higher version than the current one is
 * adopted, so that a restored or outdated row never brings an old configuration back.
 */
final class ConfigurationTable implements TableWatcher.Listener {

	private final ConfigurationReader reader = new ConfigurationReader();

	private final EntryLog log;

	private final StoreRestorationReport restorationReport;

	private final Consumer<ServingConfiguration> listener;

	private @Nullable ServingConfiguration current;

	/**
	 * Creates a table without a configuration.
	 * @param log the log
	 * @param restorationReport collects the versions after a restoration of the store
	 * @param listener receives each adopted configuration
	 */
	ConfigurationTable(EntryLog log, StoreRestorationReport restorationReport,
			Consumer<ServingConfiguration> listener) {
		this.log = log;
		this.restorationReport = restorationReport;
		this.listener = listener;
	}

	/**
	 * Returns the configuration that this gateway uses.
	 * @return the configuration, or empty before the first one
	 */
	Optional<ServingConfiguration> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Returns the version of the current configuration.
	 * @return the version, zero before the first one
	 */
	long version() {
		return (this.current != null) ? this.current.version() : 0;
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		long listedVersion = apply(rows);
		if (restored) {
			this.restorationReport.recordConfiguration(listedVersion, version());
		}
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		apply(rows);
	}

	// Returns the highest version among the rows, zero if there is none.
	private long apply(List<StoredRow> rows) {
		long newestVersion = 0;
		for (StoredRow row : rows) {
			if (!row.key().equals(StoreFormat.CONFIGURATION_KEY) || row.removed()) {
				continue;
			}
			try {
				ServingConfiguration configuration = this.reader.read(row.value());
				newestVersion = Math.max(newestVersion, configuration.version());
				adopt(configuration);
			}
			catch (PlatformFormatException ex) {
				this.log.event(EntryEvent.CONFIGURATION_REJECTED).field("reason", ex.getMessage()).write();
			}
		}
		return newestVersion;
	}

	private void adopt(ServingConfiguration candidate) {
		long previous = version();
		if (this.current != null && candidate.version() <= previous) {
			return;
		}
		this.current = candidate;
		this.log.event(EntryEvent.CONFIGURATION_ADOPTED)
			.field("version", candidate.version())
			.field("previous", previous)
			.write();
		this.listener.accept(candidate);
	}

}
