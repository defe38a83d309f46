package org.magnoliahub.claim;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;

/**
 * A pending conditional write of one claim row.
 */
final class ClaimWrite {

	/** Expected revision of an insert: the row must not exist. */
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

	void markSent() {
		this.inFlight = true;
	}

	void recordFailure(String message, boolean mayTakeEffect) {
		this.inFlight = false;
		this.failures++;
		this.detail = message;
		this.effectPossible |= mayTakeEffect;
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
	 * Completes the write after a conflict, if the current row determines its result.
	 * @param row the current row, {@code null} if absent
	 * @return whether the write is complete; otherwise it must be sent again
	 */
	boolean completeAfterConflict(@Nullable Row row) {
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
		// The content includes the owner token, so equal content proves that an earlier
		// transmission took effect although its response was lost.
		boolean ownWrite = (isInsert() || this.effectPossible) && row.value().equals(this.value);
		complete(ownWrite ? new Result.Written(row.revision()) : new Result.Conflict(row));
		return true;
	}

	/**
	 * Result of a write.
	 */
	sealed interface Result {

		/**
		 * The row has the content of the write.
		 *
		 * @param revision revision of the row
		 */
		record Written(long revision) implements Result {
		}

		/**
		 * The row has a different content or revision than expected.
		 *
		 * @param row the current row
		 */
		record Conflict(Row row) implements Result {
		}

		/** The row to update does not exist. */
		record Missing() implements Result {
		}

		/**
		 * The budget was exhausted.
		 *
		 * @param effectPossible whether the write may take effect
		 * @param detail description of the last failure
		 */
		record Unavailable(boolean effectPossible, String detail) implements Result {
		}

	}

}
