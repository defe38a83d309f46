package org.magnoliahub.serving;

import java.util.List;

/**
 * An endpoint that was chosen for a request.
 *
 * @param endpoint the endpoint
 * @param expectedMillis expected time to the first answer at usual speed, in milliseconds
 * @param uncachedTokens prompt tokens that it has to read
 * @param cost what the choice was compared by, in milliseconds
 */
public record EndpointChoice(EndpointState endpoint, double expectedMillis, int uncachedTokens, double cost) {

	/**
	 * Returns whether the endpoint is paused or silent, and was chosen for want of a
	 * better one.
	 * @return whether an answer is unlikely
	 */
	public boolean isLastResort() {
		return this.cost >= 50_000;
	}

	/**
	 * Notes that a request is sent to the endpoint.
	 * @param prompt parts of its prompt
	 * @param now monotonic time, in milliseconds
	 * @return the call
	 */
	public EndpointCall beginCall(List<PromptSegment> prompt, long now) {
		this.endpoint.promptCache().add(prompt);
		return this.endpoint.beginCall(now, this.expectedMillis, this.uncachedTokens);
	}

}
