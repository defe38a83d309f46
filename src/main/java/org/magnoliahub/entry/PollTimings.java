package org.magnoliahub.entry;

import org.magnoliahub.platform.NodeSettings;

/**
 * How often the tables of the store are polled, so that changes are in force within the
 * platform's bounds.
 */
final class PollTimings {

	/**
	 * Long poll timeout of the configuration as a share of the time within which a change
	 * must be adopted.
	 */
	private static final double CONFIGURATION_POLL_SHARE = 0.75;

	private static final long MINIMUM_CONFIGURATION_POLL_MILLIS = 2_000;

	/** Longest time from a failed call without a wait to the end of the next one. */
	private static final long SECOND_FAILURE_MILLIS = 1_840;

	/** Time for a new connection, reading and adoption within the contact bound. */
	private static final long ADOPTION_MILLIS = 700;

	/**
	 * Polls of the endpoint table within the time in which a draining endpoint must stop
	 * getting requests.
	 */
	private static final int ENDPOINT_POLLS_PER_DRAIN = 3;

	private static final long MAXIMUM_ENDPOINT_INTERVAL_MILLIS = 1_300;

	private PollTimings() {
	}

	/**
	 * Returns the timing for tables whose changes are in force within the contact bound.
	 * @param bounds the platform's bounds
	 * @return the timing
	 */
	static TableWatcher.PollTiming configuration(NodeSettings.Bounds bounds) {
		long longPoll = (long) (CONFIGURATION_POLL_SHARE * bounds.configurationMillis());
		return TableWatcher.PollTiming.continuous(Math.max(MINIMUM_CONFIGURATION_POLL_MILLIS, longPoll),
				bounds.contactMillis() - ADOPTION_MILLIS);
	}

	/**
	 * Returns the timing for the operator's table, so that evacuations of zones are in
	 * force within their bound even if two calls to the store in a row get no response.
	 * @param bounds the platform's bounds
	 * @return the timing
	 */
	static TableWatcher.PollTiming operator(NodeSettings.Bounds bounds) {
		TableWatcher.PollTiming configuration = configuration(bounds);
		if (bounds.evacuationMillis() == 0) {
			return configuration;
		}
		return TableWatcher.PollTiming.continuous(configuration.longPollMillis(),
				bounds.evacuationMillis() - ADOPTION_MILLIS - SECOND_FAILURE_MILLIS);
	}

	/**
	 * Returns the timing for the endpoints. They rewrite their rows all the time, so that
	 * a long poll would return at once.
	 * @param bounds the platform's bounds
	 * @return the timing
	 */
	static TableWatcher.PollTiming endpoints(NodeSettings.Bounds bounds) {
		long interval = bounds.drainMillis() / ENDPOINT_POLLS_PER_DRAIN;
		return new TableWatcher.PollTiming(Math.min(MAXIMUM_ENDPOINT_INTERVAL_MILLIS, interval), 0);
	}

}
