package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Results that the endpoints of a stage service hold, until they are given up or expire.
 */
final class StoredResults {

	private final Map<String, Map<String, StoredResult>> byEndpoint = new HashMap<>();

	/**
	 * Notes a result.
	 * @param endpoint id of the endpoint that holds it
	 * @param handle its handle
	 * @param result what it takes
	 */
	void add(String endpoint, String handle, StoredResult result) {
		this.byEndpoint.computeIfAbsent(endpoint, (id) -> new HashMap<>()).put(handle, result);
	}

	/**
	 * Returns how much room results take.
	 * @param endpoint id of the endpoint
	 * @param now monotonic time, in milliseconds
	 * @return bytes
	 */
	long bytes(String endpoint, long now) {
		long bytes = 0;
		Iterator<StoredResult> results = this.byEndpoint.getOrDefault(endpoint, Map.of()).values().iterator();
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
	 * Removes results that were given up.
	 * @param handles their handles
	 * @return those that were held
	 */
	List<StoredResult> remove(List<String> handles) {
		List<StoredResult> removed = new ArrayList<>();
		for (Map<String, StoredResult> results : this.byEndpoint.values()) {
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
	 * A result.
	 *
	 * @param bytes its size
	 * @param storedAt monotonic time of its call's answer, in milliseconds
	 * @param expiresAt monotonic time at which it expires, in milliseconds
	 */
	record StoredResult(long bytes, long storedAt, long expiresAt) {
	}

}
