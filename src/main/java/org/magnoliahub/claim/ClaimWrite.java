package org.magnoliahub.claim;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;

/**
 * A conditional write of one claim row that waits for its result.
 */
final class ClaimWrite {

	/** Expected revision of an insert: the row is absent. */
	static final long ABSENT = 0;

	final RowKey key;

	final String value;

	final long expectedRevision;

	final SingleSubject<Result> result = SingleSubject.create();

	private Disposable deadline = Disposable.disposed();

	private boolean inFlight;

	private boolean effectPossible;

	private int failures;

	private String detail = "the store did not answer in time";

	ClaimWrite(RowKey key, String value, long expectedRevision) {
		this.key = key;
		this.value = value;
		this.expectedRevision = expectedRevision;
	}

	boolean isInsert() {
		return this.expectedRevision == ABSENT;
	}

	Condition condition() {
		return isInsert() ? new Condition.Absent(this.key)
				: new Condition.RevisionEquals(this.key, this.expectedRevision);
	}

	int failures() {
		return this.failures;
	}

	void setDeadline(Disposable deadline) {
		this.deadline = deadline;
	}

	boolean isDone() {
		return this.result.hasValue();
	}

	void sent() {
		this.inFlight = true;
	}

	void failed(String message, boolean possible) {
		this.inFlight = false;
		this.failures++;
		this.detail = message;
		this.effectPossible |= possible;
	}

	void expire() {
		complete(new Result.Unavailable(this.inFlight || this.effectPossible, this.detail));
	}

	void complete(Result value) {
		if (!isDone()) {
			this.deadline.dispose();
			this.result.onSuccess(value);
		}
	}

	/**
	 * Settles the write from the row as the store showed it after a conflict, if it
	 * decides the write.
	 * @param row the present row, {@code null} if absent
	 * @return whether the write is settled; otherwise it must be sent again
	 */
	boolean settle(@Nullable Row row) {
		this.inFlight = false;
		if (row == null) {
			if (!isInsert()) {
				complete(new Result.Missing());
			}
			return !isInsert();
		}
		if (row.revision() == this.expectedRevision) {
			return false;
		}
		// The content has the owner's token, so equal content proves that an earlier
		// transmission with a lost answer took effect.
		boolean own = (isInsert() || this.effectPossible) && row.value().equals(this.value);
		complete(own ? new Result.Written(row.revision()) : new Result.Conflict(row));
		return true;
	}

	/**
	 * Result of a write.
	 */
	sealed interface Result {

		/**
		 * The row has the content.
		 *
		 * @param revision revision of the row
		 */
		record Written(long revision) implements Result {
		}

		/**
		 * The row has another content or revision than expected.
		 *
		 * @param row the row
		 */
		record Conflict(Row row) implements Result {
		}

		/** The row to update does not exist. */
		record Missing() implements Result {
		}

		/**
		 * The budget was spent.
		 *
		 * @param effectPossible whether the write may take effect
		 * @param detail the last failure
		 */
		record Unavailable(boolean effectPossible, String detail) implements Result {
		}

	}

}
