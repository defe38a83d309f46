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
 * Mirrors a table of the store: reads all rows, then polls the change feed, and rereads
 * all rows when the change history is lost or the store was restored from an older
 * backup. Every reread starts a new generation; responses to calls of earlier generations
 * are ignored.
 */
final class TableWatcher {

	private static final long RESPONSE_TIMEOUT_MILLIS = 1_500;

	/**
	 * Response timeout of a long poll, in addition to the time for which the store holds
	 * it open. A poll that fails is followed by one without a wait, which has the longer
	 * timeout, so a slow store is still read.
	 */
	private static final long LONG_POLL_RESPONSE_TIMEOUT_MILLIS = 600;

	private static final long RETRY_DELAY_MILLIS = 300;

	private static final int JITTER_DIVISOR = 8;

	/** Longest time between a poll and the next one if it gets no response. */
	private static final long UNANSWERED_POLL_MILLIS = LONG_POLL_RESPONSE_TIMEOUT_MILLIS + RETRY_DELAY_MILLIS
			+ RETRY_DELAY_MILLIS / JITTER_DIVISOR;

	private static final long MINIMUM_LONG_POLL_MILLIS = 500;

	/** The delay after failures in a row doubles this often, up to 2.4 s. */
	private static final int MAXIMUM_DELAY_DOUBLINGS = 3;

	private static final int OK = 200;

	private static final long NO_REVISION = -1;

	private final StoreCalls store;

	private final StoreFormat format = new StoreFormat();

	private final Timers timers;

	private final RandomGenerator random;

	private final EntryLog log;

	private final String table;

	private final Supplier<PollTiming> pollTiming;

	private final Listener listener;

	private List<StoredRow> pendingRows = new ArrayList<>();

	private long listRevision;

	private long revision;

	private long generation;

	private int failuresInARow;

	private boolean listComplete;

	private boolean restoredSinceList;

	private boolean available = true;

	private boolean lastCallFailed;

	TableWatcher(StoreCalls store, Timers timers, RandomGenerator random, EntryLog log, String table,
			Supplier<PollTiming> pollTiming, Listener listener) {
		this.store = store;
		this.timers = timers;
		this.random = random;
		this.log = log;
		this.table = table;
		this.pollTiming = pollTiming;
		this.listener = listener;
	}

	void start() {
		this.generation++;
		this.pendingRows = new ArrayList<>();
		this.listRevision = NO_REVISION;
		readRows("");
	}

	/**
	 * Rereads the table, because revisions of different eras cannot be compared.
	 */
	void onNewEra() {
		this.restoredSinceList = this.listComplete;
		// A read that has not got its first page yet can continue in the new era.
		if (this.listRevision != NO_REVISION) {
			start();
		}
	}

	/**
	 * Returns the newest revision that was read.
	 * @return the revision, negative before the first response
	 */
	long revision() {
		return (this.listRevision == NO_REVISION) ? NO_REVISION : Math.max(this.listRevision, this.revision);
	}

	private void readRows(String from) {
		this.store.get(this.format.readTarget(this.table, from), RESPONSE_TIMEOUT_MILLIS,
				new ResponseHandler(this::onPage, this::start));
	}

	private void onPage(StoredRows rows) {
		if (this.listRevision == NO_REVISION) {
			this.listRevision = rows.revision();
		}
		this.pendingRows.addAll(rows.rows());
		if (rows.incomplete() && !rows.rows().isEmpty()) {
			readRows(rows.rows().get(rows.rows().size() - 1).key() + "\u0000");
			return;
		}
		this.revision = this.listRevision;
		boolean firstListOfEra = this.restoredSinceList;
		this.restoredSinceList = false;
		List<StoredRow> list = this.pendingRows;
		this.pendingRows = new ArrayList<>();
		try {
			this.listener.onList(list, firstListOfEra);
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.restoredSinceList = firstListOfEra;
			rereadAfterFailure(ex);
			return;
		}
		this.failuresInARow = 0;
		this.listComplete = true;
		scheduleInGeneration(this.pollTiming.get().intervalMillis(), this::readChanges);
	}

	private void readChanges() {
		long longPoll = this.lastCallFailed ? 0 : this.pollTiming.get().longPollMillis();
		long timeout = (longPoll > 0) ? longPoll + LONG_POLL_RESPONSE_TIMEOUT_MILLIS : RESPONSE_TIMEOUT_MILLIS;
		this.store.get(this.format.feedTarget(this.table, this.revision, longPoll), timeout,
				new ResponseHandler(this::onFeedResponse, this::readChanges));
	}

	private void onFeedResponse(StoredRows rows) {
		// A response that does not exceed the revision holds nothing new. It repeats an
		// earlier one if it has rows, and would undo later changes of them.
		boolean repeated = rows.revision() <= this.revision;
		this.revision = Math.max(this.revision, rows.revision());
		try {
			this.listener.onChanges(repeated ? List.of() : rows.rows());
		}
		catch (RuntimeException | StackOverflowError ex) {
			rereadAfterFailure(ex);
			return;
		}
		this.failuresInARow = 0;
		scheduleInGeneration(this.pollTiming.get().intervalMillis(), this::readChanges);
	}

	// Without a further call the table would not be followed any more.
	private void rereadAfterFailure(Throwable failure) {
		this.log.event(EntryEvent.TABLE_FAILED)
			.field("table", this.table)
			.field("reason", FailureText.of(failure))
			.write();
		long delay = RETRY_DELAY_MILLIS << Math.min(MAXIMUM_DELAY_DOUBLINGS, this.failuresInARow);
		this.failuresInARow++;
		scheduleInGeneration(delay, this::start);
	}

	private void scheduleInGeneration(long millis, Runnable task) {
		if (millis == 0) {
			task.run();
			return;
		}
		long jitter = this.random.nextLong(1 + millis / JITTER_DIVISOR);
		long scheduledGeneration = this.generation;
		this.timers.schedule(Duration.ofMillis(millis + jitter), () -> {
			if (scheduledGeneration == this.generation) {
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
	 * Timing of the polls of the change feed.
	 *
	 * @param intervalMillis delay between a response and the next poll, without the
	 * random jitter
	 * @param longPollMillis how long the store may hold a poll open until a row changes,
	 * zero for an immediate response
	 */
	record PollTiming(long intervalMillis, long longPollMillis) implements Supplier<PollTiming> {

		/**
		 * Returns this timing, so that a constant timing needs no function object.
		 */
		@Override
		public PollTiming get() {
			return this;
		}

		/**
		 * Returns the timing of continuous long polls.
		 * @param maximumMillis longest time for which the store may hold a poll open
		 * @param detectionMillis time after which a poll that got no response must have
		 * been followed by another one
		 * @return the timing
		 */
		static PollTiming continuous(long maximumMillis, long detectionMillis) {
			long longest = Math.max(MINIMUM_LONG_POLL_MILLIS, detectionMillis - UNANSWERED_POLL_MILLIS);
			return new PollTiming(0, Math.min(maximumMillis, longest));
		}

	}

	/**
	 * Receives the rows of a table.
	 */
	interface Listener {

		/**
		 * Called after all rows were read.
		 * @param rows the rows
		 * @param restored whether this is the first read since the store was restored
		 * from an older backup, so that rows may be missing or outdated
		 */
		void onList(List<StoredRow> rows, boolean restored);

		/**
		 * Called after a poll with the changed and removed rows, possibly none.
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

		private final long requestGeneration = TableWatcher.this.generation;

		private ResponseHandler(RowsHandler handler, Runnable retry) {
			this.handler = handler;
			this.retry = retry;
		}

		@Override
		public void onResponse(int status, byte[] body) {
			if (this.requestGeneration != TableWatcher.this.generation) {
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
			catch (RuntimeException | StackOverflowError ex) {
				onFailure(FailureText.of(ex));
				return;
			}
			TableWatcher.this.lastCallFailed = false;
			setAvailable(true, "");
			this.handler.accept(rows);
		}

		@Override
		public void onFailure(String reason) {
			if (this.requestGeneration != TableWatcher.this.generation) {
				return;
			}
			TableWatcher.this.lastCallFailed = true;
			setAvailable(false, reason);
			scheduleInGeneration(RETRY_DELAY_MILLIS, this.retry);
		}

	}

}
