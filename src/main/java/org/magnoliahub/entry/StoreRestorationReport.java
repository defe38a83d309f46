package org.magnoliahub.entry;

import java.time.Duration;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.Timers;

/**
 * Collects what was kept, dropped and rewritten after the store was restored from an
 * older backup, and writes it to the log as one event.
 */
final class StoreRestorationReport {

	/** Time by which the tables have been reread and live rows rewritten. */
	private static final Duration REPORT_DELAY = Duration.ofSeconds(5);

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final LongSupplier revision;

	private EndpointDirectory.RestoreSummary endpointSummary = EndpointDirectory.RestoreSummary.NONE;

	private int keptMembers;

	private int staleMembers;

	private String selfRowState = "";

	private long listedConfiguration;

	private long currentConfiguration;

	private int rewrittenObjects;

	private long previousEra = StoreEra.UNKNOWN;

	private long currentEra = StoreEra.UNKNOWN;

	private long revisionBefore;

	private Disposable reportTimer = Disposable.disposed();

	/**
	 * Creates a report.
	 * @param timers the timer service
	 * @param log the log
	 * @param metrics counts restorations
	 * @param revision supplies the newest revision that was read
	 */
	StoreRestorationReport(Timers timers, EntryLog log, EntryMetrics metrics, LongSupplier revision) {
		this.timers = timers;
		this.log = log;
		this.metrics = metrics;
		this.revision = revision;
	}

	/**
	 * Starts a report on a new era. Must be called before the tables are reread.
	 * @param previous the previous era
	 * @param current the new era
	 */
	void begin(long previous, long current) {
		this.previousEra = previous;
		this.currentEra = current;
		this.revisionBefore = this.revision.getAsLong();
		this.endpointSummary = EndpointDirectory.RestoreSummary.NONE;
		this.keptMembers = 0;
		this.staleMembers = 0;
		this.selfRowState = "";
		this.listedConfiguration = 0;
		this.rewrittenObjects = 0;
		this.metrics.storeRestored();
		this.log.event(EntryEvent.STORE_ERA_CHANGED).field("previous", previous).field("era", current).write();
		this.reportTimer.dispose();
		this.reportTimer = this.timers.schedule(REPORT_DELAY, this::writeReport);
	}

	void recordEndpoints(EndpointDirectory.RestoreSummary summary) {
		this.endpointSummary = summary;
	}

	/**
	 * Records what became of the member rows.
	 * @param kept number of gateways that stay members although their rows are missing
	 * @param stale number of rows of gateways that had left, which are removed
	 * @param selfRow {@code listed} or {@code written}, for the row of this gateway
	 */
	void recordMembers(int kept, int stale, String selfRow) {
		this.keptMembers = kept;
		this.staleMembers = stale;
		this.selfRowState = selfRow;
	}

	/**
	 * Records the configuration that the restored store holds.
	 * @param listed its version, zero if there is none
	 * @param current the version that this gateway uses
	 */
	void recordConfiguration(long listed, long current) {
		this.listedConfiguration = listed;
		this.currentConfiguration = current;
	}

	/**
	 * Records how many objects with request records are rewritten.
	 * @param objects number of objects
	 */
	void recordRewrittenObjects(int objects) {
		this.rewrittenObjects = objects;
	}

	private void writeReport() {
		this.log.event(EntryEvent.STORE_RESTORED)
			.field("previous", this.previousEra)
			.field("era", this.currentEra)
			.field("revision_before", this.revisionBefore)
			.field("revision", this.revision.getAsLong())
			.field("endpoints_listed", this.endpointSummary.records())
			.field("endpoints_outdated", this.endpointSummary.outdated())
			.field("endpoints_kept", this.endpointSummary.retained())
			.field("endpoints_dropped", this.endpointSummary.dropped())
			.field("members_kept", this.keptMembers)
			.field("members_left", this.staleMembers)
			.field("own_row", this.selfRowState)
			.field("configuration_listed", this.listedConfiguration)
			.field("configuration", this.currentConfiguration)
			.field("records_again", this.rewrittenObjects)
			.write();
	}

}
