package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.PromptEvidenceFormat;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.serving.PromptBlocklist;
import org.magnoliahub.serving.PromptEvidence;
import org.magnoliahub.time.Timers;

/**
 * Exchanges the evidence about parts of prompts with the other gateways, by one row of
 * the store for each gateway.
 */
final class PromptEvidenceTable implements TableWatcher.Listener {

	private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(100);

	private static final long WRITE_TIMEOUT_MILLIS = 1_000;

	private static final int OK = 200;

	private final StoreCalls store;

	private final Timers timers;

	private final EntryLog log;

	private final String gateway;

	private final PromptBlocklist blocklist;

	private final StoreFormat format = new StoreFormat();

	private final RejectedRows rejectedRows;

	private List<PromptEvidence> written = List.of();

	private Set<Long> loggedBlocks = Set.of();

	private boolean loaded;

	private boolean writing;

	PromptEvidenceTable(StoreCalls store, Timers timers, EntryLog log, String gateway, PromptBlocklist blocklist) {
		this.store = store;
		this.timers = timers;
		this.log = log;
		this.gateway = gateway;
		this.blocklist = blocklist;
		this.rejectedRows = new RejectedRows(log, StoreFormat.PROMPT_EVIDENCE_TABLE);
	}

	void start() {
		this.timers.schedulePeriodically(PUBLISH_INTERVAL, this::publish);
	}

	private void publish() {
		long now = this.timers.milliTime();
		List<PromptEvidence> evidence = this.blocklist.ownEvidence(now);
		logBlocks();
		// The row of an earlier process is read before it is replaced.
		if (!this.loaded || this.writing || evidence.equals(this.written)) {
			return;
		}
		this.writing = true;
		byte[] body = this.format.put(StoreFormat.PROMPT_EVIDENCE_TABLE, this.gateway,
				PromptEvidenceFormat.encode(evidence, now));
		this.store.post(StoreFormat.WRITE_PATH, body, WRITE_TIMEOUT_MILLIS, new WriteHandler(evidence));
	}

	private void logBlocks() {
		Set<Long> blocked = this.blocklist.blockedParts();
		if (blocked.equals(this.loggedBlocks)) {
			return;
		}
		blocked.stream()
			.filter((part) -> !this.loggedBlocks.contains(part))
			.forEach((part) -> logBlock(part, "blocked"));
		this.loggedBlocks.stream()
			.filter((part) -> !blocked.contains(part))
			.forEach((part) -> logBlock(part, "released"));
		this.loggedBlocks = blocked;
	}

	private void logBlock(long part, String state) {
		this.log.event(EntryEvent.PROMPT_BLOCK)
			.field("part_hash", Long.toHexString(part))
			.field("state", state)
			.write();
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		List<String> names = new ArrayList<>();
		rows.forEach((row) -> names.add(row.key()));
		if (restored) {
			// Rows may be older than what this gateway knows, and missing. Live gateways
			// write theirs again.
			this.written = List.of();
			this.loaded = true;
			return;
		}
		this.blocklist.retainEvidence(names, this.timers.milliTime());
		rows.forEach(this::apply);
		if (!this.loaded) {
			this.loaded = true;
			this.written = names.contains(this.gateway) ? List.of() : this.written;
		}
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		rows.stream().filter((row) -> !row.key().equals(this.gateway)).forEach(this::apply);
	}

	private void apply(StoredRow row) {
		long now = this.timers.milliTime();
		if (row.removed()) {
			this.blocklist.update(row.key(), List.of(), now);
			return;
		}
		// Later rows of this gateway are its own.
		if (row.key().equals(this.gateway) && this.loaded) {
			return;
		}
		try {
			this.blocklist.update(row.key(), PromptEvidenceFormat.decode(row.value(), now), now);
		}
		catch (PlatformFormatException | RuntimeException | StackOverflowError ex) {
			this.rejectedRows.add(row, FailureText.of(ex));
		}
	}

	private final class WriteHandler implements StoreCalls.Handler {

		private final List<PromptEvidence> evidence;

		private WriteHandler(List<PromptEvidence> evidence) {
			this.evidence = evidence;
		}

		@Override
		public void onResponse(int status, byte[] body) {
			PromptEvidenceTable.this.writing = false;
			if (status == OK) {
				PromptEvidenceTable.this.written = this.evidence;
			}
		}

		@Override
		public void onFailure(String reason) {
			PromptEvidenceTable.this.writing = false;
		}

	}

}
