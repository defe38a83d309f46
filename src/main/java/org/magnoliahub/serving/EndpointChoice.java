package org.magnoliahub.serving;

import java.util.List;

/**
 * Endpoint selected for a request.
 *
 * @param endpoint the endpoint
 * @param expectedMillis expected time to the first bytes of the response at typical
 * speed, in milliseconds
 * @param uncachedTokens prompt tokens that the endpoint has to process
 * @param cost cost by which the endpoints were compared, in milliseconds
 */
public record EndpointChoice(EndpointState endpoint, double expectedMillis, int uncachedTokens, double cost) {

	/**
	 * Returns whether the endpoint is ejected or unresponsive, and was selected only
	 * because no healthy endpoint was available.
	 * @return whether the cost contains a penalty for one of these states
	 */
	public boolean isLastResort() {
		return this.cost >= 50_000;
	}

	/**
	 * Records that a request is sent to the endpoint.
	 * @param prompt segments of its prompt, empty if it has none
	 * @param now monotonic time, in milliseconds
	 * @return the call, whose response and end must be recorded
	 */
	public EndpointCall beginCall(List<PromptSegment> prompt, long now) {
		this.endpoint.promptCache().add(prompt);
		return this.endpoint.beginCall(now, this.expectedMillis, this.uncachedTokens);
	}

}
