package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * Decides which records of one endpoint id count. The store may perform a write seconds
 * after it was sent, so that a record may be older than the removal of the endpoint, than
 * a record that was read before it, or than the present process.
 */
final class RecordOrder {

	private State state = State.LISTED;

	private @Nullable EndpointRecord unconfirmed;

	/**
	 * Judges a record that the store lists.
	 * @param record the record
	 * @param latest the record that counted last
	 * @return whether it counts
	 */
	Judgement judge(EndpointRecord record, EndpointRecord latest) {
		if (!record.isSameProcess(latest)) {
			return record.isOfLaterProcess(latest) ? Judgement.CURRENT : judgeByRepetition(record);
		}
		if (record.sequence() < latest.sequence()) {
			return Judgement.OUTDATED;
		}
		if (this.state == State.LISTED) {
			return Judgement.CURRENT;
		}
		if (record.sequence() == latest.sequence()) {
			return Judgement.OUTDATED;
		}
		if (this.state == State.REMOVED && judgeByRepetition(record) == Judgement.OUTDATED) {
			return Judgement.DOUBTFUL;
		}
		return Judgement.CURRENT;
	}

	/**
	 * Judges a record in the first list after the store was restored from an older
	 * backup. A doubtful one does not count.
	 * @param record the record
	 * @param latest the record that counted last
	 * @return whether it counts
	 */
	Judgement judgeRestored(EndpointRecord record, EndpointRecord latest) {
		boolean predatesRemoval = this.state != State.LISTED && record.isSameProcess(latest);
		if (predatesRemoval) {
			this.unconfirmed = record;
			return Judgement.OUTDATED;
		}
		return judge(record, latest);
	}

	// A live process writes again, and a late write is not repeated. This also covers
	// processes whose clock runs behind, and those that state no start.
	private Judgement judgeByRepetition(EndpointRecord record) {
		EndpointRecord earlier = this.unconfirmed;
		this.unconfirmed = record;
		boolean repeated = earlier != null && record.isSameProcess(earlier) && record.sequence() > earlier.sequence();
		return repeated ? Judgement.CURRENT : Judgement.OUTDATED;
	}

	/**
	 * Called when a record counts from now on.
	 * @param judgement why it counts
	 */
	void applied(Judgement judgement) {
		if (judgement == Judgement.CURRENT) {
			this.state = State.LISTED;
			this.unconfirmed = null;
		}
	}

	/**
	 * Called when the endpoint has gone: its record was removed.
	 */
	void removed() {
		this.state = State.REMOVED;
		this.unconfirmed = null;
	}

	/**
	 * Called when the record is still missing some time after an outage of the store.
	 */
	void lapsed() {
		this.state = State.LAPSED;
		this.unconfirmed = null;
	}

	/**
	 * Whether a record counts.
	 */
	enum Judgement {

		/** It was written before what is known, or by an earlier process. */
		OUTDATED,

		/** It may have been written before the removal of the endpoint. */
		DOUBTFUL,

		/** It is the latest one. */
		CURRENT

	}

	private enum State {

		LISTED, LAPSED, REMOVED

	}

}
