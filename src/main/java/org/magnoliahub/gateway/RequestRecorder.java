package org.magnoliahub.gateway;

import org.magnoliahub.model.RequestRecord;

/**
 * Receives the record of each request once its final answer is known.
 */
@FunctionalInterface
public interface RequestRecorder {

	/**
	 * Takes a record.
	 * @param record the record
	 */
	void record(RequestRecord record);

}
