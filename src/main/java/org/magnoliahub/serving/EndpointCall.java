package org.magnoliahub.serving;

/**
 * Tracks one request to an endpoint from its sending to its end.
 */
public final class EndpointCall {

	private final EndpointState endpoint;

	private final long sentMillis;

	private final double expectedMillis;

	private final int uncachedTokens;

	private final boolean slowStart;

	private boolean ended;

	EndpointCall(EndpointState endpoint, long sentMillis, double expectedMillis, int uncachedTokens,
			boolean slowStart) {
		this.endpoint = endpoint;
		this.sentMillis = sentMillis;
		this.expectedMillis = expectedMillis;
		this.uncachedTokens = uncachedTokens;
		this.slowStart = slowStart;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	double expectedMillis() {
		return this.expectedMillis;
	}

	int uncachedTokens() {
		return this.uncachedTokens;
	}

	/**
	 * Returns whether the call began during the slow start after a requested pause.
	 * @return whether its response raises the limit on calls in flight
	 */
	boolean isSlowStart() {
		return this.slowStart;
	}

	/**
	 * Returns the endpoint.
	 * @return the endpoint that received the request
	 */
	public EndpointState endpoint() {
		return this.endpoint;
	}

	/**
	 * Records the first bytes of the response.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordFirstResponse(long now) {
		this.endpoint.recordFirstResponse(this, now);
	}

	/**
	 * Records that the endpoint rejected the request without running it. The response
	 * time of a rejection is not used as a measure of the endpoint's speed.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordRejection(long now) {
		this.endpoint.recordRejection(this, now);
	}

	/**
	 * Ends the call, whatever its outcome. Further invocations have no effect.
	 */
	public void end() {
		if (!this.ended) {
			this.ended = true;
			this.endpoint.endCall(this);
		}
	}

}
