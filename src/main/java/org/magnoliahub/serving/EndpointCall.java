package org.magnoliahub.serving;

/**
 * One request at an endpoint, from its sending to its end.
 */
public final class EndpointCall {

	private final EndpointState endpoint;

	private final long sentMillis;

	private final double expectedMillis;

	private final int tokens;

	private final boolean returning;

	private boolean ended;

	EndpointCall(EndpointState endpoint, long sentMillis, double expectedMillis, int tokens, boolean returning) {
		this.endpoint = endpoint;
		this.sentMillis = sentMillis;
		this.expectedMillis = expectedMillis;
		this.tokens = tokens;
		this.returning = returning;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	double expectedMillis() {
		return this.expectedMillis;
	}

	int tokens() {
		return this.tokens;
	}

	/**
	 * Returns whether the call began while traffic returned after a pause.
	 * @return whether its answer lets more calls begin
	 */
	boolean isSlowStart() {
		return this.returning;
	}

	/**
	 * Returns the endpoint.
	 * @return the endpoint that has the request
	 */
	public EndpointState endpoint() {
		return this.endpoint;
	}

	/**
	 * Notes the first part of the answer.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordFirstResponse(long now) {
		this.endpoint.answered(this, now);
	}

	/**
	 * Notes that the endpoint did not run the request, which tells nothing of its speed.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordRejection(long now) {
		this.endpoint.refused(this, now);
	}

	/**
	 * Notes the end of the call, whatever its outcome; later calls have no effect.
	 */
	public void end() {
		if (!this.ended) {
			this.ended = true;
			this.endpoint.ended(this);
		}
	}

}
