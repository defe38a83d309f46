package org.magnoliahub.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.serving.MemberList;
import org.magnoliahub.time.Timers;

/**
 * The rows in which gateways list themselves: writes the own one, follows the others, and
 * removes those of gateways that do not return.
 */
final class MemberTable implements TableWatcher.Listener {

	private static final long WRITE_MILLIS = 1_500;

	private static final Duration RETRY = Duration.ofSeconds(1);

	private static final Duration CLEANUP_INTERVAL = Duration.ofMinutes(1);

	private static final int OK = 200;

	private final StoreClient store;

	private final Timers timers;

	private final EntryLog log;

	private final MemberRecord own;

	private final Consumer<Map<String, MemberRecord>> changed;

	private final StoreFormat format = new StoreFormat();

	private final MemberList list;

	private final Map<String, MemberRecord> members = new HashMap<>();

	private boolean stopping;

	/**
	 * Creates a table that is not known yet.
	 * @param store the store
	 * @param timers the timers
	 * @param log the log
	 * @param own what this gateway writes
	 * @param changed receives all members after a change
	 */
	MemberTable(StoreClient store, Timers timers, EntryLog log, MemberRecord own,
			Consumer<Map<String, MemberRecord>> changed) {
		this.store = store;
		this.timers = timers;
		this.log = log;
		this.own = own;
		this.changed = changed;
		this.list = new MemberList(own.name());
	}

	void start() {
		write();
		this.timers.repeat(Duration.ofMillis(MemberList.WRITE_MILLIS), this::write);
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
				new Outcome(() -> this.timers.schedule(RETRY, this::write)));
	}

	private void removeLeftOver() {
		for (MemberList.LeftOver row : this.list.leftOver(this.timers.milliTime())) {
			byte[] body = this.format.remove(StoreFormat.MEMBER_TABLE, row.member(), row.revision());
			// A row that was written meanwhile stays, and others are tried again later.
			this.store.post(StoreFormat.WRITE_PATH, body, WRITE_MILLIS, new Outcome(null));
		}
	}

	@Override
	public void onList(List<StoredRow> rows) {
		this.members.keySet().retainAll(rows.stream().map(StoredRow::key).toList());
		this.list.retain(this.members.keySet());
		onChanges(rows);
	}

	@Override
	public void onChanges(List<StoredRow> rows) {
		boolean listed = this.list.isOwnListed();
		rows.forEach(this::apply);
		this.changed.accept(this.members);
		if (listed && !this.list.isOwnListed()) {
			write();
		}
	}

	private void apply(StoredRow row) {
		Optional<MemberRecord> member = row.removed() ? Optional.empty() : MemberRecord.decode(row);
		if (member.isPresent()) {
			this.list.listed(row.key(), row.revision(), this.timers.milliTime());
		}
		else {
			this.list.removed(row.key());
		}
		MemberRecord known = member.isPresent() ? this.members.put(row.key(), member.get())
				: this.members.remove(row.key());
		if (!Objects.equals(known, member.orElse(null))) {
			this.log.event(EntryEvent.MEMBER_CHANGED)
				.field("member", row.key())
				.field("state", member.isPresent() ? "listed" : "gone")
				.write();
		}
	}

	private static final class Outcome implements StoreClient.Handler {

		private final @Nullable Runnable retry;

		private Outcome(@Nullable Runnable retry) {
			this.retry = retry;
		}

		@Override
		public void onAnswer(int status, byte[] body) {
			if (status != OK) {
				onFailure("status " + status);
			}
		}

		@Override
		public void onFailure(String reason) {
			if (this.retry != null) {
				this.retry.run();
			}
		}

	}

}
