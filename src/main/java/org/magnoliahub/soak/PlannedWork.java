package org.magnoliahub.soak;

import java.util.List;

/**
 * Planned work at gateways. Times are monotonic, in milliseconds.
 *
 * @param stops stops of gateways
 * @param reloads signals to read the settings again
 */
record PlannedWork(List<Stop> stops, List<Reload> reloads) {

	PlannedWork {
		stops = List.copyOf(stops);
		reloads = List.copyOf(reloads);
	}

	/**
	 * A planned stop of a gateway.
	 *
	 * @param gateway index of the gateway
	 * @param begunMillis when it was told to stop
	 * @param endedMillis when it had ended
	 */
	record Stop(int gateway, long begunMillis, long endedMillis) {
	}

	/**
	 * A signal to a gateway to read its settings again.
	 *
	 * @param gateway index of the gateway
	 * @param millis when it was sent
	 */
	record Reload(int gateway, long millis) {
	}

}
