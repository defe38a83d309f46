package org.magnoliahub.entry;

import java.time.Duration;
import java.util.function.LongSupplier;

import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.Timers;

/**
 * Tells the log what was kept, dropped and written again after the store came back from
 * an older copy.
 */
final class StoreRestorationReport {

	/** Time after which the tables were read again and live rows written again. */
	private static final Duration SETTLED_AFTER = Duration.ofSeconds(5);

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final LongSupplier revision;

	private EndpointDirectory.RestoreSummary endpoints = EndpointDirectory.RestoreSummary.NONE;

	private int membersKept;

	private int membersLeft;

	private String ownRow = "";

	private long configurationListed;

	private long configurationInForce;

	private int recordsAgain;

	private long previous = StoreEra.UNKNOWN;

	private long current = StoreEra.UNKNOWN;

	private long revisionBefore;

	private Disposable report = Disposable.disposed();

	/**
	 * Creates a restoration.
	 * @param timers the timer service
	 * @param log the log
	 * @param metrics counts restorations
	 * @param revision the newest revision that was read
	 */
	StoreRestorationReport(Timers timers, EntryLog log, EntryMetrics metrics, LongSupplier revision) {
		this.timers = timers;
		this.log = log;
		this.metrics = metrics;
		this.revision = revision;
	}

	/**
	 * Notes a new era, before the tables are read again.
	 * @param before the era before
	 * @param newer the new era
	 */
	void begin(long before, long newer) {
		this.previous = before;
		this.current = newer;
		this.revisionBefore = this.revision.getAsLong();
		this.endpoints = EndpointDirectory.RestoreSummary.NONE;
		this.membersKept = 0;
		this.membersLeft = 0;
		this.ownRow = "";
		this.configurationListed = 0;
		this.recordsAgain = 0;
		this.metrics.storeRestored();
		this.log.event(EntryEvent.STORE_ERA_CHANGED).field("previous", before).field("era", newer).write();
		this.report.dispose();
		this.report = this.timers.schedule(SETTLED_AFTER, this::write);
	}

	void endpoints(EndpointDirectory.RestoreSummary list) {
		this.endpoints = list;
	}

	/**
	 * Notes the rows of gateways.
	 * @param kept gateways that are not listed and still count
	 * @param left rows of gateways that had left, removed again
	 * @param own what was done with the own row
	 */
	void members(int kept, int left, String own) {
		this.membersKept = kept;
		this.membersLeft = left;
		this.ownRow = own;
	}

	/**
	 * Notes the configuration that the copy holds.
	 * @param listed its version
	 * @param inForce version that stays or becomes in force here
	 */
	void configuration(long listed, long inForce) {
		this.configurationListed = listed;
		this.configurationInForce = inForce;
	}

	/**
	 * Notes objects with records that are written again.
	 * @param objects number of objects
	 */
	void records(int objects) {
		this.recordsAgain = objects;
	}

	private void write() {
		this.log.event(EntryEvent.STORE_RESTORED)
			.field("previous", this.previous)
			.field("era", this.current)
			.field("revision_before", this.revisionBefore)
			.field("revision", this.revision.getAsLong())
			.field("endpoints_listed", this.endpoints.entries())
			.field("endpoints_outdated", this.endpoints.outdated())
			.field("endpoints_kept", this.endpoints.retained())
			.field("endpoints_dropped", this.endpoints.dropped())
			.field("members_kept", this.membersKept)
			.field("members_left", this.membersLeft)
			.field("own_row", this.ownRow)
			.field("configuration_listed", this.configurationListed)
			.field("configuration", this.configurationInForce)
			.field("records_again", this.recordsAgain)
			.write();
	}

}
