package org.magnoliahub.report;

import java.time.Instant;
import java.util.List;

import org.magnoliahub.model.RequestRecord;

/**
 * Content of one object.
 *
 * @param header what the object covers
 * @param records the records kept
 */
public record RecordBatch(Header header, List<RequestRecord> records) {

	/**
	 * Copies the records.
	 */
	public RecordBatch {
		records = List.copyOf(records);
	}

	/**
	 * First line of an object.
	 *
	 * @param gateway name of the gateway
	 * @param incarnation number of its run
	 * @param sequence number of the object in this run, from 1 without gaps
	 * @param from wall time at which the object before it ended, or the run started
	 * @param to wall time at which this object ended
	 * @param requests requests that ended in this time, all of them counted in the totals
	 * @param kept requests of which the object has a record
	 * @param sampledOut requests complete in time whose record was left out by sampling
	 * @param dropped requests whose record was dropped because the store did not keep up
	 * @param last whether the run ended with this object, as planned
	 * @param totals exact sums over all requests
	 */
	public record Header(String gateway, long incarnation, long sequence, Instant from, Instant to, long requests,
			long kept, long sampledOut, long dropped, boolean last, RecordTotals totals) {

	}

}
