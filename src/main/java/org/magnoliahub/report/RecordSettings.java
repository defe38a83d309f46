package org.magnoliahub.report;

import java.time.Duration;

import org.magnoliahub.model.Arguments;

/**
 * Bounds of the records that a gateway keeps and writes.
 *
 * @param flushInterval time after which collected records are written
 * @param heartbeatInterval longest time between two objects of an idle gateway
 * @param batchRecords requests after which an object is written before the interval ends
 * @param completeKept most requests that were complete in time of which one object keeps
 * the detail; all are counted in its totals
 * @param pendingRecords most records with detail that wait for the store
 * @param pendingObjects most objects that wait for the store
 */
public record RecordSettings(Duration flushInterval, Duration heartbeatInterval, int batchRecords, int completeKept,
		int pendingRecords, int pendingObjects) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public RecordSettings {
		Arguments.requireRange(flushInterval.toMillis(), 1, 3_600_000, "flush interval in ms");
		Arguments.requireRange(heartbeatInterval.toMillis(), flushInterval.toMillis(), 3_600_000,
				"heartbeat interval in ms");
		Arguments.requireRange(batchRecords, 1, 100_000, "records of one object");
		Arguments.requireRange(completeKept, 0, batchRecords, "complete records kept of one object");
		Arguments.requireRange(pendingRecords, batchRecords, 1_000_000, "pending records");
		Arguments.requireRange(pendingObjects, 1, 10_000, "pending objects");
	}

	/**
	 * Returns the settings of a gateway.
	 * @return an object every 10 s or 1,000 requests, at most 10,000 pending records
	 */
	public static RecordSettings defaults() {
		return new RecordSettings(Duration.ofSeconds(10), Duration.ofSeconds(60), 1_000, 200, 10_000, 100);
	}

	/**
	 * Returns settings with another sample size.
	 * @param kept most complete records kept of one object, at most the records of one
	 * object
	 * @return the settings
	 */
	public RecordSettings withCompleteKept(int kept) {
		return new RecordSettings(this.flushInterval, this.heartbeatInterval, this.batchRecords, kept,
				this.pendingRecords, this.pendingObjects);
	}

}
