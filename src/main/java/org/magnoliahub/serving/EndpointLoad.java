package org.magnoliahub.serving;

import java.util.OptionalInt;

/**
 * Load that an endpoint reported in a response.
 *
 * @param running number of requests in progress
 * @param waiting number of queued requests
 * @param slots number of requests that the endpoint can process concurrently
 * @param slowdownPercent how long work takes on the machine of the endpoint at the time
 * of the report, in percent of the usual time; empty if not reported
 */
public record EndpointLoad(int running, int waiting, int slots, OptionalInt slowdownPercent) {

	/**
	 * Creates a load without a slowdown of the machine.
	 * @param running number of requests in progress
	 * @param waiting number of queued requests
	 * @param slots number of requests that the endpoint can process concurrently
	 */
	public EndpointLoad(int running, int waiting, int slots) {
		this(running, waiting, slots, OptionalInt.empty());
	}

}
