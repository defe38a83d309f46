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
 * The rows in which gateways list themselves: writes the own one, follows the others, and
 * removes those of gateways that do not return.
 */
final class MemberTable implements TableWatcher.Listener {

	private static final long WRITE_MILLIS = 1_500;

	private static final Duration RETRY = Duration.ofSeconds(1);

	private static final Duration CLEANUP_INTERVAL = Duration.ofMinutes(1);

	/**
	 * Time within which other gateways write their rows again after the store came back
	 * from an older copy.
	 */
	private static final Duration CONFIRMATION = Duration.ofSeconds(5);

	private static final int OK = 200;

	private final StoreCalls store;

	private final Timers timers;

	private final EntryLog log;

	private final MemberRecord own;

	private final Consumer<Map<String, MemberRecord>> changed;

	private final StoreFormat format = new StoreFormat();

	private final StoreRestorationReport restoration;

	private final MembershipTracker list;

	private final Map<String, MemberRecord> members = new HashMap<>();

	private final Set<String> unconfirmed = new HashSet<>();

	private Disposable confirmation = Disposable.disposed();

	private boolean written;

	private boolean stopping;

	/**
	 * Creates a table that is not known yet.
	 * @param store the store
	 * @param timers the timers
	 * @param log the log
	 * @param own what this gateway writes
	 * @param restoration learns of rows after the store came back from an older copy
	 * @param changed receives all members after a change
	 */
	MemberTable(StoreCalls store, Timers timers, EntryLog log, MemberRecord own, StoreRestorationReport restoration,
			Consumer<Map<String, MemberRecord>> changed) {
		this.store = store;
		this.timers = timers;
		this.log = log;
		this.own = own;
		this.restoration = restoration;
		this.changed = changed;
		this.list = new MembershipTracker(own.name());
	}

	void start() {
		write();
		this.timers.repeat(Duration.ofMillis(MembershipTracker.WRITE_INTERVAL_MILLIS), this::write);
		this.timers.repeat(CLEANUP_INTERVAL, this::removeLeftOver);
	}

	/**
	 * Stops writing, because this gateway ends.
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
		byte[] body = this.format.put(StoreFormat.MEMBER_TABLE, this.own.name(), this.own.encode());
		this.store.post(StoreFormat.WRITE_PATH, body, WRITE_MILLIS,
				new WriteHandler(() -> this.written = true, () -> this.timers.schedule(RETRY, this::write)));
	}

	private void removeLeftOver() {
		for (MembershipTracker.StaleRow row : this.list.staleRows(this.timers.milliTime())) {
			byte[] body = this.format.remove(StoreFormat.MEMBER_TABLE, row.member(), row.revision());
			// A row that was written meanwhile stays, and others are tried again later.
			this.store.post(StoreFormat.WRITE_PATH, body, WRITE_MILLIS, new WriteHandler(() -> {
			}, null));
		}
	}

	@Override
	public void onList(List<StoredRow> rows, boolean restored) {
		if (restored) {
			restore(rows);
			return;
		}
		Set<String> listed = new HashSet<>(this.unconfirmed);
		rows.forEach((row) -> listed.add(row.key()));
		this.members.keySet().retainAll(listed);
		this.list.retainAll(this.members.keySet());
		onChanges(rows);
		if (this.written && !this.list.containsSelf()) {
			write();
		}
	}

	// Rows may be missing until their gateways have written them again; they count
	// meanwhile, so that shares of budgets and owners of stages stay as they are.
	private void restore(List<StoredRow> rows) {
		this.list.clear();
		this.unconfirmed.clear();
		this.unconfirmed.addAll(this.members.keySet());
		int left = 0;
		boolean ownIsListed = false;
		for (StoredRow row : rows) {
			Optional<MemberRecord> member = MemberRecord.decode(row);
			if (member.isEmpty()) {
				continue;
			}
			if (!this.list.recordRestoredRow(row.key(), member.get().incarnation(), row.revision(),
					this.timers.milliTime())) {
				left++;
				continue;
			}
			ownIsListed |= member.get().equals(this.own);
			this.unconfirmed.remove(row.key());
			this.members.put(row.key(), member.get());
		}
		this.unconfirmed.remove(this.own.name());
		this.restoration.members(this.unconfirmed.size(), left, ownIsListed ? "listed" : "written");
		this.changed.accept(this.members);
		if (!ownIsListed) {
			write();
		}
		removeLeftOver();
		this.confirmation.dispose();
		this.confirmation = this.timers.schedule(CONFIRMATION, this::removeUnconfirmed);
	}

	private void removeUnconfirmed() {
		removeLeftOver();
		if (this.unconfirmed.isEmpty()) {
			return;
		}
		this.unconfirmed.forEach((member) -> {
			this.members.remove(member);
			logState(member, "gone");
		});
		this.unconfirmed.clear();
		this.changed.accept(this.members);
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		boolean listed = this.list.containsSelf();
		rows.forEach(this::apply);
		this.changed.accept(this.members);
		if (listed && !this.list.containsSelf()) {
			write();
		}
	}

	private void apply(StoredRow row) {
		Optional<MemberRecord> member = row.removed() ? Optional.empty() : MemberRecord.decode(row);
		this.unconfirmed.remove(row.key());
		if (member.isPresent()) {
			this.list.recordRow(row.key(), member.get().incarnation(), row.revision(), this.timers.milliTime());
		}
		else {
			this.list.recordRemoval(row.key());
		}
		MemberRecord known = member.isPresent() ? this.members.put(row.key(), member.get())
				: this.members.remove(row.key());
		if (!Objects.equals(known, member.orElse(null))) {
			logState(row.key(), member.isPresent() ? "listed" : "gone");
		}
	}

	private void logState(String member, String state) {
		this.log.event(EntryEvent.MEMBER_CHANGED).field("member", member).field("state", state).write();
	}

	private static final class WriteHandler implements StoreCalls.Handler {

		private final Runnable done;

		private final @Nullable Runnable retry;

		private WriteHandler(Runnable done, @Nullable Runnable retry) {
			this.done = done;
			this.retry = retry;
		}

		@Override
		public void onAnswer(int status, byte[] body) {
			if (status != OK) {
				onFailure("status " + status);
				return;
			}
			this.done.run();
		}

		@Override
		public void onFailure(String reason) {
			if (this.retry != null) {
				this.retry.run();
			}
		}

	}

}
