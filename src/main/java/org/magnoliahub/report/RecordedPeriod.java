package org.magnoliahub.report;

import java.time.Instant;
import java.util.List;

import org.magnoliahub.model.RequestRecord;

/**
 * What the store holds of a span of time.
 *
 * @param from start of the span
 * @param to end of the span
 * @param objects number of objects read
 * @param gateways number of gateways that wrote them
 * @param totals exact sums over the objects read
 * @param sampledOut requests complete in time that were left out by sampling
 * @param gaps what is missing, in order of gateway and time
 * @param records records that the reader asked for, in order of their arrival
 * @param recordsCut whether there were more records than asked for
 */
public record RecordedPeriod(Instant from, Instant to, int objects, int gateways, RecordTotals totals, long sampledOut,
		List<RecordGap> gaps, List<RequestRecord> records, boolean recordsCut) {

	/**
	 * Copies the lists.
	 */
	public RecordedPeriod {
		gaps = List.copyOf(gaps);
		records = List.copyOf(records);
	}

	/**
	 * Returns whether requests may be missing in the totals.
	 * @return whether a gap affects the totals, or no gateway wrote anything
	 */
	public boolean totalsIncomplete() {
		return this.objects == 0 || this.gaps.stream().anyMatch(RecordGap::affectsTotals);
	}

}
