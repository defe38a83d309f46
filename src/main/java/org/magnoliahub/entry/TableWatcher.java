package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.platform.StoredRows;
import org.magnoliahub.time.Timers;

/**
 * Follows a table of the store: reads it whole, then its changes, and whole again when
 * the history is lost or the store came back from an older copy. Each time that it starts
 * anew, answers to earlier calls change nothing.
 */
final class TableWatcher {

	private static final long ANSWER_MILLIS = 1_500;

	private static final long RETRY_MILLIS = 300;

	private static final int OK = 200;

	private static final long NONE = -1;

	private final StoreCalls store;

	private final StoreFormat format = new StoreFormat();

	private final Timers timers;

	private final RandomGenerator random;

	private final EntryLog log;

	private final String table;

	private final Supplier<PollTiming> pace;

	private final Listener listener;

	private List<StoredRow> listed = new ArrayList<>();

	private long listRevision;

	private long revision;

	private long round;

	private boolean listComplete;

	private boolean restored;

	private boolean available = true;

	TableWatcher(StoreCalls store, Timers timers, RandomGenerator random, EntryLog log, String table,
			Supplier<PollTiming> pace, Listener listener) {
		this.store = store;
		this.timers = timers;
		this.random = random;
		this.log = log;
		this.table = table;
		this.pace = pace;
		this.listener = listener;
	}

	void start() {
		this.round++;
		this.listed = new ArrayList<>();
		this.listRevision = NONE;
		list("");
	}

	/**
	 * Reads the table again, because revisions of an earlier era mean nothing now.
	 */
	void onNewEra() {
		this.restored = this.listComplete;
		// A list that is under way without an answer so far goes on in the new era.
		if (this.listRevision != NONE) {
			start();
		}
	}

	/**
	 * Returns the newest revision that was taken into account.
	 * @return the revision, negative before the first answer
	 */
	long revision() {
		return (this.listRevision == NONE) ? NONE : Math.max(this.listRevision, this.revision);
	}

	private void list(String from) {
		this.store.get(this.format.readTarget(this.table, from), ANSWER_MILLIS,
				new ResponseHandler(this::onPage, this::start));
	}

	private void onPage(StoredRows rows) {
		if (this.listRevision == NONE) {
			this.listRevision = rows.revision();
		}
		this.listed.addAll(rows.rows());
		if (rows.incomplete() && !rows.rows().isEmpty()) {
			list(rows.rows().get(rows.rows().size() - 1).key() + "\u0000");
			return;
		}
		this.revision = this.listRevision;
		boolean firstOfEra = this.restored;
		this.restored = false;
		this.listComplete = true;
		this.listener.onList(this.listed, firstOfEra);
		this.listed = new ArrayList<>();
		later(this.pace.get().intervalMillis(), this::feed);
	}

	private void feed() {
		long wait = this.pace.get().waitMillis();
		this.store.get(this.format.feedTarget(this.table, this.revision, wait), ANSWER_MILLIS + wait,
				new ResponseHandler(this::onChanges, this::feed));
	}

	private void onChanges(StoredRows rows) {
		this.revision = Math.max(this.revision, rows.revision());
		this.listener.onChanges(rows.rows());
		later(this.pace.get().intervalMillis(), this::feed);
	}

	private void later(long millis, Runnable task) {
		if (millis == 0) {
			task.run();
			return;
		}
		long jitter = this.random.nextLong(1 + millis / 8);
		long present = this.round;
		this.timers.schedule(Duration.ofMillis(millis + jitter), () -> {
			if (present == this.round) {
				task.run();
			}
		});
	}

	private void setAvailable(boolean newValue, String reason) {
		if (this.available != newValue) {
			this.available = newValue;
			this.log.event(EntryEvent.STORE_CONTACT)
				.field("table", this.table)
				.field("outcome", newValue ? "regained" : "lost")
				.field("reason", reason)
				.write();
		}
	}

	/**
	 * How often a table is read.
	 *
	 * @param intervalMillis pause between two calls
	 * @param waitMillis how long a call waits for a change
	 */
	record PollTiming(long intervalMillis, long waitMillis) {
	}

	/**
	 * Receives the content of a table.
	 */
	interface Listener {

		/**
		 * Called with all rows.
		 * @param rows the rows
		 * @param restored whether they are the first ones since the store came back from
		 * an older copy, so that rows may be missing or old
		 */
		void onList(List<StoredRow> rows, boolean restored);

		/**
		 * Called with changed and removed rows, possibly none.
		 * @param rows the rows in the order of their changes
		 */
		void onChanges(List<StoredRow> rows);

	}

	private interface RowsHandler {

		void accept(StoredRows rows);

	}

	private final class ResponseHandler implements StoreCalls.Handler {

		private final RowsHandler handler;

		private final Runnable retry;

		private final long sentIn = TableWatcher.this.round;

		private ResponseHandler(RowsHandler handler, Runnable retry) {
			this.handler = handler;
			this.retry = retry;
		}

		@Override
		public void onAnswer(int status, byte[] body) {
			if (this.sentIn != TableWatcher.this.round) {
				return;
			}
			if (status == StoreFormat.HISTORY_GONE) {
				start();
				return;
			}
			if (status != OK) {
				onFailure("status " + status);
				return;
			}
			StoredRows rows;
			try {
				rows = TableWatcher.this.format.rows(body);
			}
			catch (PlatformFormatException ex) {
				onFailure(ex.getMessage());
				return;
			}
			setAvailable(true, "");
			this.handler.accept(rows);
		}

		@Override
		public void onFailure(String reason) {
			if (this.sentIn != TableWatcher.this.round) {
				return;
			}
			setAvailable(false, reason);
			later(RETRY_MILLIS, this.retry);
		}

	}

}
