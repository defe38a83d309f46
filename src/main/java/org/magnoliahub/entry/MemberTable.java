package org.magnoliahub.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.serving.MembershipTracker;
import org.magnoliahub.time.Timers;

/**
 * Cluster membership by rows in the store: writes the row of this gateway, tracks those
 * of the others, and removes stale rows.
 */
final class MemberTable implements TableWatcher.Listener {

	private static final long WRITE_TIMEOUT_MILLIS = 1_500;

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration CLEANUP_INTERVAL = Duration.ofMinutes(1);

	/**
	 * Time within which live gateways rewrite their rows after the store was restored
	 * from an older backup.
	 */
	private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(5);

	private static final int OK = 200;

	private final StoreCalls store;

	private final Timers timers;

	private final EntryLog log;

	private final MemberRecord self;

	private final Consumer<Map<String, MemberRecord>> listener;

	private final StoreFormat format = new StoreFormat();

	private final RejectedRows rejectedRows;

	private final StoreRestorationReport restorationReport;

	private final MembershipTracker membershipTracker;

	private final Map<String, MemberRecord> members = new HashMap<>();

	private final Set<String> unconfirmed = new HashSet<>();

	private Disposable confirmationTimer = Disposable.disposed();

	private boolean selfRowWritten;

	private boolean stopping;

	/**
	 * Creates a table that is empty until it is first read.
	 * @param store the store
	 * @param timers the timers
	 * @param log the log
	 * @param self the row of this gateway
	 * @param restorationReport collects what became of the rows after a restoration of
	 * the store
	 * @param listener receives all members after each read of the table
	 */
	MemberTable(StoreCalls store, Timers timers, EntryLog log, MemberRecord self,
			StoreRestorationReport restorationReport, Consumer<Map<String, MemberRecord>> listener) {
		this.store = store;
		this.timers = timers;
		this.log = log;
		this.rejectedRows = new RejectedRows(log, StoreFormat.MEMBER_TABLE);
		this.self = self;
		this.restorationReport = restorationReport;
		this.listener = listener;
		this.membershipTracker = new MembershipTracker(self.name());
	}

	void start() {
		write();
		this.timers.schedulePeriodically(Duration.ofMillis(MembershipTracker.WRITE_INTERVAL_MILLIS), this::write);
		this.timers.schedulePeriodically(CLEANUP_INTERVAL, this::removeStaleRows);
	}

	/**
	 * Stops writing the row of this gateway, because it shuts down.
	 */
	void stop() {
		this.stopping = true;
	}

	int size() {
		return this.members.size();
	}

	private void write() {
		if (this.stopping) {
			return;
		}
		byte[] body = this.format.put(StoreFormat.MEMBER_TABLE, this.self.name(), this.self.encode());
		this.store.post(StoreFormat.WRITE_PATH, body, WRITE_TIMEOUT_MILLIS, new WriteHandler(
				() -> this.selfRowWritten = true, () -> this.timers.schedule(RETRY_DELAY, this::write)));
	}

	private void removeStaleRows() {
		for (MembershipTracker.StaleRow row : this.membershipTracker.staleRows(this.timers.milliTime())) {
			byte[] body = this.format.remove(StoreFormat.MEMBER_TABLE, row.member(), row.revision());
			// The removal fails if the row was rewritten meanwhile. Other failures are
			// not retried here, because the next cleanup removes the row.
			this.store.post(StoreFormat.WRITE_PATH, body, WRITE_TIMEOUT_MILLIS, new WriteHandler(() -> {
			}, null));
		}
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		if (restored) {
			onRestoredList(rows);
			return;
		}
		Set<String> listed = new HashSet<>(this.unconfirmed);
		for (StoredRow row : rows) {
			listed.add(row.key());
		}
		this.members.keySet().retainAll(listed);
		this.membershipTracker.retainAll(this.members.keySet());
		onChanges(rows);
		if (this.selfRowWritten && !this.membershipTracker.containsSelf()) {
			write();
		}
	}

	// Gateways whose rows are missing from the backup stay members until they had time to
	// rewrite them, so that retry budget shares and owners of stage queues do not change.
	private void onRestoredList(List<StoredRow> rows) {
		this.membershipTracker.clear();
		this.unconfirmed.clear();
		this.unconfirmed.addAll(this.members.keySet());
		int staleRowCount = 0;
		boolean selfListed = false;
		for (StoredRow row : rows) {
			Optional<MemberRecord> member = read(row);
			if (member.isEmpty()) {
				continue;
			}
			if (!this.membershipTracker.recordRestoredRow(row.key(), member.get().incarnation(), row.revision(),
					this.timers.milliTime())) {
				staleRowCount++;
				continue;
			}
			selfListed |= member.get().equals(this.self);
			this.unconfirmed.remove(row.key());
			this.members.put(row.key(), member.get());
		}
		this.unconfirmed.remove(this.self.name());
		this.restorationReport.recordMembers(this.unconfirmed.size(), staleRowCount, selfListed ? "listed" : "written");
		this.listener.accept(this.members);
		if (!selfListed) {
			write();
		}
		removeStaleRows();
		this.confirmationTimer.dispose();
		this.confirmationTimer = this.timers.schedule(CONFIRMATION_TIMEOUT, this::removeUnconfirmed);
	}

	private void removeUnconfirmed() {
		removeStaleRows();
		if (this.unconfirmed.isEmpty()) {
			return;
		}
		this.unconfirmed.forEach((member) -> {
			this.members.remove(member);
			logState(member, "gone");
		});
		this.unconfirmed.clear();
		this.listener.accept(this.members);
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		boolean wasListed = this.membershipTracker.containsSelf();
		for (StoredRow row : rows) {
			apply(row);
		}
		this.listener.accept(this.members);
		if (wasListed && !this.membershipTracker.containsSelf()) {
			write();
		}
	}

	private void apply(StoredRow row) {
		Optional<MemberRecord> member = row.removed() ? Optional.empty() : read(row);
		this.unconfirmed.remove(row.key());
		if (member.isPresent()) {
			this.membershipTracker.recordRow(row.key(), member.get().incarnation(), row.revision(),
					this.timers.milliTime());
		}
		else {
			this.membershipTracker.recordRemoval(row.key());
		}
		MemberRecord previous = member.isPresent() ? this.members.put(row.key(), member.get())
				: this.members.remove(row.key());
		if (!Objects.equals(previous, member.orElse(null))) {
			logState(row.key(), member.isPresent() ? "listed" : "gone");
		}
	}

	private Optional<MemberRecord> read(StoredRow row) {
		try {
			Optional<MemberRecord> record = MemberRecord.decode(row);
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

	private void logState(String member, String state) {
		this.log.event(EntryEvent.MEMBER_CHANGED).field("member", member).field("state", state).write();
	}

	private static final class WriteHandler implements StoreCalls.Handler {

		private final Runnable success;

		private final @Nullable Runnable retry;

		private WriteHandler(Runnable success, @Nullable Runnable retry) {
			this.success = success;
			this.retry = retry;
		}

		@Override
		public void onResponse(int status, byte[] body) {
			if (status != OK) {
				onFailure("status " + status);
				return;
			}
			this.success.run();
		}

		@Override
		public void onFailure(String reason) {
			if (this.retry != null) {
				this.retry.run();
			}
		}

	}

}
