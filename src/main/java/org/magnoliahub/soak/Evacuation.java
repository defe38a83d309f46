package org.magnoliahub.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An evacuation of a zone that the operator requested. Times are monotonic, in
 * milliseconds.
 */
final class Evacuation {

	private final String zone;

	private final long begunMillis;

	private final List<Long> writtenMillis = new CopyOnWriteArrayList<>();

	private volatile long removedMillis = Long.MAX_VALUE;

	/**
	 * Creates an evacuation whose row is about to be written.
	 * @param zone name of the zone
	 * @param begunMillis time before the row is written
	 */
	Evacuation(String zone, long begunMillis) {
		this.zone = zone;
		this.begunMillis = begunMillis;
	}

	/**
	 * Records that the store has acknowledged the row, for the first time or after a
	 * restored store had lost it.
	 * @param now the time after the acknowledgement
	 */
	void recordWritten(long now) {
		this.writtenMillis.add(now);
	}

	/**
	 * Records that the operator begins to remove the row. A gateway may read the removal
	 * before the operator has its acknowledgement.
	 * @param now the time before the call
	 */
	void recordRemoval(long now) {
		this.removedMillis = now;
	}

	String zone() {
		return this.zone;
	}

	long begunMillis() {
		return this.begunMillis;
	}

	List<Long> writtenMillis() {
		return this.writtenMillis;
	}

	long removedMillis() {
		return this.removedMillis;
	}

	@Override
	public String toString() {
		return "evacuation of " + this.zone + " begun " + this.begunMillis + " written " + this.writtenMillis
				+ " removed " + this.removedMillis;
	}

}
