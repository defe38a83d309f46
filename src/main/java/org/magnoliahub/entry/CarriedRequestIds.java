package org.magnoliahub.entry;

import java.util.Arrays;

/**
 * Ids of the requests that a connection has carried. Responses are told apart by the id
 * of their request, so a connection must not carry the same id twice: the endpoint might
 * repeat its response to the first request in place of that to the second.
 */
final class CarriedRequestIds {

	/** A connection is closed after this number of requests, which bounds its memory. */
	static final int MAXIMUM_IDS = 512;

	private static final int INITIAL_IDS = 8;

	// Hashes instead of ids keep idle connections small; a collision costs only a new
	// connection.
	private int[] hashes = new int[INITIAL_IDS];

	private int count;

	/**
	 * Adds an id.
	 * @param requestId id of a request that is being sent
	 * @throws IllegalStateException if {@link #isFull()}
	 */
	void add(String requestId) {
		if (isFull()) {
			throw new IllegalStateException("expected at most " + MAXIMUM_IDS + " requests on a connection");
		}
		if (this.count == this.hashes.length) {
			this.hashes = Arrays.copyOf(this.hashes, 2 * this.count);
		}
		this.hashes[this.count] = requestId.hashCode();
		this.count++;
	}

	/**
	 * Returns whether an id may have been added.
	 * @param requestId id of a request
	 * @return {@code true} if it was added, seldom also if it was not
	 */
	boolean mayContain(String requestId) {
		int hash = requestId.hashCode();
		for (int index = 0; index < this.count; index++) {
			if (this.hashes[index] == hash) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns whether no further id can be added.
	 * @return whether the limit is reached
	 */
	boolean isFull() {
		return this.count == MAXIMUM_IDS;
	}

}
