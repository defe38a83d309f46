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
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.Timers;

/**
 * Adopts the operator's configuration. Only a higher version than the current one is
 * adopted, so that a restored or outdated row never brings an old configuration back.
 */
final class ConfigurationTable implements TableWatcher.Listener {

	/** Source of configurations that were read from the store, for logs. */
	private static final String STORE = "store";

	private final ConfigurationReader reader = new ConfigurationReader();

	private final Timers timers;

	private final EntryLog log;

	private final StoreEra era;

	private final StoreRestorationReport restorationReport;

	private final Consumer<ServingConfiguration> listener;

	private @Nullable ServingConfiguration current;

	private byte[] stored = new byte[0];

	private long lastResponseMillis;

	private boolean awaitsList;

	/**
	 * Creates a table without a configuration.
	 * @param timers the timer service
	 * @param log the log
	 * @param era the era of the store's data
	 * @param restorationReport collects the versions after a restoration of the store
	 * @param listener receives each adopted configuration
	 */
	ConfigurationTable(Timers timers, EntryLog log, StoreEra era, StoreRestorationReport restorationReport,
			Consumer<ServingConfiguration> listener) {
		this.timers = timers;
		this.log = log;
		this.era = era;
		this.lastResponseMillis = timers.milliTime();
		this.restorationReport = restorationReport;
		this.listener = listener;
	}

	/**
	 * Withholds a configuration of another gateway until the table has been read, whose
	 * other rows restrict how it may be used.
	 */
	void awaitList() {
		this.awaitsList = true;
	}

	/**
	 * Returns the configuration that this gateway uses.
	 * @return the configuration, or empty before the first one
	 */
	Optional<ServingConfiguration> current() {
		return this.awaitsList ? Optional.empty() : Optional.ofNullable(this.current);
	}

	/**
	 * Returns the version of the current configuration.
	 * @return the version, zero before the first one
	 */
	long version() {
		return (this.current != null) ? this.current.version() : 0;
	}

	/**
	 * Returns the current configuration as it was stored.
	 * @return its bytes, empty before the first one
	 */
	byte[] stored() {
		return this.stored;
	}

	/**
	 * Returns how long the store has not confirmed the current configuration.
	 * @return the time since its last response, or since the start before the first one,
	 * in milliseconds
	 */
	long ageMillis() {
		return this.timers.milliTime() - this.lastResponseMillis;
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		this.awaitsList = false;
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
		this.lastResponseMillis = this.timers.milliTime();
		long newestVersion = 0;
		for (StoredRow row : rows) {
			if (!row.key().equals(StoreFormat.CONFIGURATION_KEY) || row.removed()) {
				continue;
			}
			newestVersion = Math.max(newestVersion, adopt(row.value(), STORE));
		}
		return newestVersion;
	}

	/**
	 * Applies a configuration that another gateway uses, if it is newer than the current
	 * one.
	 * @param member name of that gateway
	 * @param content the configuration as it was stored
	 */
	void applyFromMember(String member, byte[] content) {
		adopt(content, member);
	}

	// Returns the version of the configuration, zero if it cannot be read.
	private long adopt(byte[] content, String source) {
		Optional<ServingConfiguration> candidate = read(content);
		if (candidate.isEmpty()) {
			return 0;
		}
		if (this.current == null || candidate.get().version() > version()) {
			use(candidate.get(), content, source);
		}
		return candidate.get().version();
	}

	private Optional<ServingConfiguration> read(byte[] content) {
		String reason;
		try {
			return Optional.of(this.reader.read(content));
		}
		catch (PlatformFormatException ex) {
			reason = ex.getMessage();
		}
		catch (RuntimeException | StackOverflowError ex) {
			reason = FailureText.of(ex);
		}
		this.log.event(EntryEvent.CONFIGURATION_REJECTED).field("reason", reason).write();
		return Optional.empty();
	}

	private void use(ServingConfiguration candidate, byte[] content, String source) {
		long previous = version();
		this.current = candidate;
		this.stored = content;
		this.log.event(EntryEvent.CONFIGURATION_ADOPTED)
			.field("version", candidate.version())
			.field("previous", previous)
			.field("era", this.era.current())
			.field("source", source)
			.write();
		this.listener.accept(candidate);
	}

}
