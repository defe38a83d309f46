package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Results that the endpoints of a stage service store until they are released or expire.
 */
final class StoredResults {

	private final Map<String, Map<String, StoredResult>> resultsByEndpoint = new HashMap<>();

	/**
	 * Adds a result.
	 * @param endpoint id of the endpoint that stores it
	 * @param handle handle of the result
	 * @param result size and times of the result
	 */
	void add(String endpoint, String handle, StoredResult result) {
		this.resultsByEndpoint.computeIfAbsent(endpoint, (id) -> new HashMap<>()).put(handle, result);
	}

	/**
	 * Returns the total size of the results at an endpoint, and removes expired ones.
	 * @param endpoint id of the endpoint
	 * @param now monotonic time, in milliseconds
	 * @return size, in bytes
	 */
	long bytes(String endpoint, long now) {
		long bytes = 0;
		Iterator<StoredResult> results = this.resultsByEndpoint.getOrDefault(endpoint, Map.of()).values().iterator();
		while (results.hasNext()) {
			StoredResult result = results.next();
			if (result.expiresAt() <= now) {
				results.remove();
			}
			else {
				bytes += result.bytes();
			}
		}
		return bytes;
	}

	/**
	 * Removes released results.
	 * @param handles handles of the results
	 * @return the results that were stored
	 */
	List<StoredResult> remove(List<String> handles) {
		List<StoredResult> removed = new ArrayList<>();
		for (Map<String, StoredResult> results : this.resultsByEndpoint.values()) {
			for (String handle : handles) {
				StoredResult result = results.remove(handle);
				if (result != null) {
					removed.add(result);
				}
			}
		}
		return removed;
	}

	/**
	 * Size and times of a stored result.
	 *
	 * @param bytes size, in bytes
	 * @param storedAt monotonic time of the response that contained it, in milliseconds
	 * @param expiresAt monotonic time at which it expires, in milliseconds
	 */
	record StoredResult(long bytes, long storedAt, long expiresAt) {
	}

}
