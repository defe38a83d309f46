package org.magnoliahub.coldstart;

/**
 * Pace at which this gateway may send requests to a cold server.
 *
 * @param intervalMillis minimum time between two requests, in milliseconds, or
 * {@link #NO_SHARE}
 * @param retryMillis time after which some gateway may send a request, in milliseconds
 */
record ColdPace(long intervalMillis, long retryMillis) {

	/** Interval of a gateway without a share. */
	static final long NO_SHARE = Long.MAX_VALUE / 4;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Pace of a server whose service has no limit. */
	static final ColdPace UNLIMITED = new ColdPace(0, 0);

	/**
	 * Returns the pace of a gateway with a share.
	 * @param perSecond requests per second of this gateway
	 * @param allPerSecond requests per second of all gateways
	 * @return the pace
	 */
	static ColdPace of(double perSecond, double allPerSecond) {
		return new ColdPace(intervalMillis(perSecond), intervalMillis(allPerSecond));
	}

	/**
	 * Returns the pace of a gateway that must not send requests.
	 * @param allPerSecond requests per second of all gateways
	 * @return the pace
	 */
	static ColdPace withoutShare(double allPerSecond) {
		return new ColdPace(NO_SHARE, intervalMillis(allPerSecond));
	}

	private static long intervalMillis(double perSecond) {
		return (long) Math.min(NO_SHARE - 1.0, Math.ceil(MILLIS_PER_SECOND / perSecond));
	}

	boolean isLimited() {
		return this.intervalMillis > 0;
	}

	boolean hasShare() {
		return this.intervalMillis < NO_SHARE;
	}

}
