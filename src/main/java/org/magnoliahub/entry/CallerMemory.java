package org.magnoliahub.entry;

import org.magnoliahub.serving.BodyMemory;

/**
 * Bounds what all callers together keep in memory. Each kind has a limit of its own, so
 * that many heads do not cost other callers their bodies.
 *
 * @param heads estimated memory of request heads, from their first byte to the end of the
 * request
 * @param bodies bodies of requests
 * @param responses ends of responses that callers have not read
 */
record CallerMemory(BodyMemory heads, BodyMemory bodies, BodyMemory responses) {

	/**
	 * Memory of a header field besides its text: an entry of the headers, two strings and
	 * their arrays.
	 */
	private static final long FIELD_BYTES = 160;

	/**
	 * Estimates the memory of a head.
	 * @param bytes its size on the wire, in bytes
	 * @param fields number of fields
	 * @return the size in memory, in bytes
	 */
	static long headBytes(long bytes, long fields) {
		return bytes + fields * FIELD_BYTES;
	}

}
