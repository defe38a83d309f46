package org.magnoliahub.gateway;

import org.magnoliahub.model.RequestRecord;

/**
 * Receives the record of each request when its final outcome is known.
 */
@FunctionalInterface
public interface RequestRecorder {

	/**
	 * Records a request.
	 * @param record the record of the request
	 */
	void record(RequestRecord record);

}
