package org.magnoliahub.serving;

import java.util.List;

/**
 * The endpoints of a stage service that may get calls.
 *
 * @param sound endpoints that are neither paused nor silent
 * @param usual how many of them have about the usual speed
 */
record HealthyEndpoints(List<EndpointState> sound, int usual) {

	private static final long SILENCE_MILLIS = 900;

	/** An endpoint this much slower than usual gets calls only under pressure. */
	private static final double SLOW_FACTOR = 1.6;

	static HealthyEndpoints of(List<EndpointState> usable, long now) {
		List<EndpointState> sound = sound(usable, now);
		int usual = (int) sound.stream().filter((endpoint) -> !isSlow(endpoint, now)).count();
		return new HealthyEndpoints(sound, usual);
	}

	static List<EndpointState> sound(List<EndpointState> usable, long now) {
		return usable.stream().filter((endpoint) -> isSound(endpoint, now)).toList();
	}

	private static boolean isSound(EndpointState endpoint, long now) {
		return !endpoint.isEjected(now) && !endpoint.isUnresponsive(now, SILENCE_MILLIS);
	}

	private static boolean isSlow(EndpointState endpoint, long now) {
		return endpoint.speedFactor(now) >= SLOW_FACTOR;
	}

	/**
	 * Returns whether an endpoint gets a call.
	 * @param endpoint one of the endpoints
	 * @param waiting pieces that wait
	 * @param batchSize pieces of a full call
	 * @param now monotonic time, in milliseconds
	 * @return whether it is fast enough, or the faster ones are not enough
	 */
	boolean isWanted(EndpointState endpoint, int waiting, int batchSize, long now) {
		return !isSlow(endpoint, now) || waiting >= this.usual * batchSize;
	}

}
