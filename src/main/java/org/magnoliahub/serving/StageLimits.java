package org.magnoliahub.serving;

/**
 * Limits and approximate times of the endpoints of a stage service.
 *
 * @param concurrentCalls calls that one endpoint works on at a time
 * @param maximumBatchSize most pieces of one call
 * @param batchOverheadMillis time of a call without its pieces, in milliseconds
 * @param pieceMillis further time for each piece, in milliseconds
 * @param resultCapacityBytes room for results at one endpoint, in bytes
 * @param resultLifetimeMillis time for which a result is kept, in milliseconds
 */
public record StageLimits(int concurrentCalls, int maximumBatchSize, double batchOverheadMillis, double pieceMillis,
		long resultCapacityBytes, long resultLifetimeMillis) {

	/** Results of which an endpoint holds fewer than this are large. */
	private static final int MANY_RESULTS = 50;

	/**
	 * Returns whether few results of a size fill the room of an endpoint.
	 * @param bytes size of a result
	 * @return whether room limits how many pieces are under way
	 */
	public boolean isLargeResult(long bytes) {
		return bytes * MANY_RESULTS > this.resultCapacityBytes;
	}

	/**
	 * Returns the time of a call at an endpoint of usual speed.
	 * @param pieces number of pieces
	 * @return milliseconds
	 */
	public double expectedMillis(int pieces) {
		return this.batchOverheadMillis + pieces * this.pieceMillis;
	}

}
