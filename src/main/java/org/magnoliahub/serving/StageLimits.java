package org.magnoliahub.serving;

/**
 * Limits and approximate processing times of the endpoints of a stage service.
 *
 * @param concurrentCalls number of calls that one endpoint processes concurrently
 * @param maximumBatchSize maximum number of pieces in a batch
 * @param batchOverheadMillis fixed processing time of a batch, in milliseconds
 * @param pieceMillis additional processing time per piece, in milliseconds
 * @param resultCapacityBytes result capacity of one endpoint, in bytes
 * @param resultLifetimeMillis time for which an endpoint stores a result, in milliseconds
 */
public record StageLimits(int concurrentCalls, int maximumBatchSize, double batchOverheadMillis, double pieceMillis,
		long resultCapacityBytes, long resultLifetimeMillis) {

	/** Results are large if an endpoint stores fewer full batches of them than this. */
	private static final int SMALL_RESULT_BATCHES = 4;

	/**
	 * Returns whether a few full batches of results fill the result capacity of an
	 * endpoint.
	 * @param bytes size of a result, in bytes
	 * @return whether the result capacity limits the number of pieces in progress
	 */
	public boolean isLargeResult(long bytes) {
		return bytes * this.maximumBatchSize * SMALL_RESULT_BATCHES > this.resultCapacityBytes;
	}

	/**
	 * Returns the processing time of a batch at typical speed.
	 * @param pieces number of pieces
	 * @return expected time, in milliseconds
	 */
	public double expectedMillis(int pieces) {
		return this.batchOverheadMillis + pieces * this.pieceMillis;
	}

}
