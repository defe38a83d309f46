package org.magnoliahub.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.coldstart.ColdServers;
import org.magnoliahub.platform.EndpointRecordReader;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.time.Timers;

/**
 * Applies the rows of the endpoint table to the directory.
 */
final class EndpointTable implements TableWatcher.Listener {

	private final EndpointDirectory directory;

	private final Timers timers;

	private final EntryLog log;

	private final EndpointRecordReader reader = new EndpointRecordReader();

	private final RejectedRows rejectedRows;

	private final StoreRestorationReport restorationReport;

	private final Set<String> draining = new HashSet<>();

	private final @Nullable ColdServers coldServers;

	/**
	 * Creates a table that is empty until it is first read.
	 * @param directory receives the records
	 * @param timers the timers
	 * @param log the log
	 * @param restorationReport collects what became of the rows after a restoration of
	 * the store
	 * @param coldServers receives the records that were applied to the directory, or
	 * {@code null} if requests to cold servers are not limited
	 */
	EndpointTable(EndpointDirectory directory, Timers timers, EntryLog log, StoreRestorationReport restorationReport,
			@Nullable ColdServers coldServers) {
		this.directory = directory;
		this.timers = timers;
		this.log = log;
		this.rejectedRows = new RejectedRows(log, StoreFormat.ENDPOINT_TABLE);
		this.restorationReport = restorationReport;
		this.coldServers = coldServers;
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		long now = this.timers.milliTime();
		this.directory.recordStoreContact(now);
		Map<String, EndpointRecord> records = new HashMap<>();
		for (StoredRow row : rows) {
			read(row).ifPresent((record) -> records.put(record.id(), record));
		}
		if (restored) {
			this.restorationReport.recordEndpoints(this.directory.replaceAllAfterRestore(records.values(), now));
		}
		else {
			this.directory.replaceAll(records.values(), now);
		}
		recordRead(records.values(), now);
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		long now = this.timers.milliTime();
		this.directory.recordStoreContact(now);
		List<EndpointRecord> applied = new ArrayList<>();
		for (StoredRow row : rows) {
			Optional<EndpointRecord> record = row.removed() ? Optional.empty() : read(row);
			if (record.isEmpty()) {
				this.draining.remove(row.key());
				logChange(row, "", "gone");
				this.directory.remove(row.key(), now);
				continue;
			}
			if (!this.directory.update(record.get())) {
				logChange(row, record.get().service(), "outdated");
				continue;
			}
			applied.add(record.get());
			if (record.get().draining() && this.draining.add(row.key())) {
				logChange(row, record.get().service(), "draining");
			}
		}
		recordRead(applied, now);
	}

	private void recordRead(Collection<EndpointRecord> records, long now) {
		if (this.coldServers != null) {
			this.coldServers.recordRead(records, now);
		}
	}

	private Optional<EndpointRecord> read(StoredRow row) {
		try {
			Optional<EndpointRecord> record = this.reader.read(row.key(), row.value());
			if (record.isEmpty()) {
				this.rejectedRows.addOtherForm(row);
			}
			return record;
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.rejectedRows.add(row, FailureText.of(ex));
			return Optional.empty();
		}
	}

	private void logChange(StoredRow row, String service, String state) {
		this.log.event(EntryEvent.ENDPOINT_CHANGED)
			.field("endpoint", row.key())
			.field("service", service)
			.field("state", state)
			.field("revision", row.revision())
			.write();
	}

}
