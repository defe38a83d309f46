package org.magnoliahub.platform.emulator;

/**
 * Learns what endpoints get and run, on the threads of their connections.
 */
public interface RunObserver {

	/**
	 * A request reached an endpoint, which may refuse it.
	 * @param request the request
	 */
	void arrived(EndpointRequest request);

	/**
	 * An endpoint answers 421 to a request, which is meant for another one.
	 * @param request the request
	 */
	default void misdirected(EndpointRequest request) {
	}

	/**
	 * An endpoint begins to work on a request.
	 * @param run the run
	 */
	void started(EndpointRun run);

	/**
	 * An endpoint no longer works on a request.
	 * @param run the run
	 */
	void ended(EndpointRun run);

	/**
	 * An endpoint says in its answer to a request that it leaves or wants a pause.
	 * @param request the request
	 * @param pauseMillis length of the pause, or zero if it leaves
	 */
	default void told(EndpointRequest request, long pauseMillis) {
	}

	/**
	 * An endpoint states in its answer to a request which request rate it accepts.
	 * @param request the request
	 * @param perSecond requests per second of all gateways together
	 */
	default void limited(EndpointRequest request, double perSecond) {
	}

}
