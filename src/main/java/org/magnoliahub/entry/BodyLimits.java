package org.magnoliahub.entry;

/**
 * Limits on the total size of the bodies that a gateway keeps in memory.
 *
 * @param requestBytes limit for requests, incomplete ones and those in progress
 * @param responseBytes limit for incomplete responses
 */
record BodyLimits(long requestBytes, long responseBytes) {

	/** Small shares, because buffers grow by doubling: a body may take twice its size. */
	private static final long REQUEST_HEAP_DIVISOR = 5;

	private static final long RESPONSE_HEAP_DIVISOR = 8;

	/**
	 * Returns limits that leave room for everything else.
	 * @param heapBytes maximum size of the heap, in bytes
	 * @return the limits
	 */
	static BodyLimits ofHeap(long heapBytes) {
		return new BodyLimits(heapBytes / REQUEST_HEAP_DIVISOR, heapBytes / RESPONSE_HEAP_DIVISOR);
	}

}
