package org.magnoliahub.serving;

/**
 * Request rate that an endpoint accepts from all gateways together, and the part of it
 * that this gateway uses. A gateway saves at most one unused request, so that gateways
 * that were idle do not send their savings at the same moment. Gateways without a share
 * send single requests in turn, to learn whether the rate still holds.
 */
final class RequestedRate {

	/** Time for which responses without a rate do not end it, as they may be delayed. */
	private static final long MINIMUM_MILLIS = 1_000;

	/** Time between the probes of two gateways that have no share. */
	private static final long PROBE_STEP_MILLIS = 5_000;

	/** Time for which a gateway without a share may send its probe. */
	private static final long PROBE_MILLIS = 1_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private boolean limited;

	private double perSecond;

	private RateShare share = RateShare.WHOLE;

	private long firstStatedAt;

	private long lastStatedAt;

	private long nextCallAt;

	/**
	 * Records a rate that a response stated.
	 * @param now monotonic time, in milliseconds
	 * @param newPerSecond requests per second that the endpoint accepts from all gateways
	 * @param newShare part of this gateway
	 * @return whether the rate is new or changed
	 */
	boolean state(long now, double newPerSecond, RateShare newShare) {
		boolean changed = !this.limited || this.perSecond != newPerSecond;
		boolean restart = !this.limited || !newShare.equals(this.share);
		this.limited = true;
		this.perSecond = newPerSecond;
		this.share = newShare;
		this.lastStatedAt = now;
		if (restart) {
			this.firstStatedAt = now;
			this.nextCallAt = now + intervalMillis();
		}
		return changed;
	}

	/**
	 * Records a response that stated no rate.
	 * @param now monotonic time, in milliseconds
	 * @return whether this ended a rate
	 */
	boolean stateNone(long now) {
		if (!this.limited || now - this.lastStatedAt < MINIMUM_MILLIS) {
			return false;
		}
		this.limited = false;
		return true;
	}

	/**
	 * Ends the rate. Called when a new process replaces the one that stated it.
	 */
	void clear() {
		this.limited = false;
	}

	double perSecond() {
		return this.limited ? this.perSecond : 0;
	}

	boolean mayBeginCall(long now) {
		return !this.limited || (now >= this.nextCallAt && (this.share.isIncluded() || isProbeDue(now)));
	}

	void beginCall(long now) {
		if (this.limited) {
			this.nextCallAt = now + intervalMillis();
		}
	}

	/**
	 * Returns the time until the endpoint accepts a request from any gateway.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, zero if this gateway may send one now
	 */
	long waitMillis(long now) {
		if (mayBeginCall(now)) {
			return 0;
		}
		long anyMillis = (long) Math.ceil(MILLIS_PER_SECOND / this.perSecond);
		return this.share.isIncluded() ? Math.min(this.nextCallAt - now, anyMillis) : anyMillis;
	}

	private boolean isProbeDue(long now) {
		long sinceFirstTurn = now - this.firstStatedAt - PROBE_STEP_MILLIS * this.share.rank();
		return Math.floorMod(sinceFirstTurn, PROBE_STEP_MILLIS * this.share.all()) < PROBE_MILLIS;
	}

	private long intervalMillis() {
		return this.share.isIncluded() ? (long) Math.ceil(MILLIS_PER_SECOND * this.share.included() / this.perSecond)
				: PROBE_MILLIS;
	}

}
