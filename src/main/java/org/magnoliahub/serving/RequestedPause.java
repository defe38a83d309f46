package org.magnoliahub.serving;

/**
 * Pause that an endpoint requested, and the slow start after it. After the pause only one
 * call may be in flight at first; each response doubles the limit, so that the endpoint
 * does not receive all waiting requests at once.
 */
final class RequestedPause {

	/** Limit on calls in flight at which the slow start ends. */
	private static final int SLOW_START_CALLS = 32;

	private long until = Long.MIN_VALUE / 2;

	private boolean slowStart;

	private int maximumInFlight;

	private int inFlight;

	/**
	 * Starts or extends the pause. A current pause that ends later is not shortened.
	 * @param now monotonic time, in milliseconds
	 * @param millis length of the pause, in milliseconds
	 */
	void request(long now, long millis) {
		this.until = Math.max(this.until, now + millis);
		this.slowStart = true;
		this.maximumInFlight = 1;
	}

	/**
	 * Ends the pause and the slow start. Called when a new process replaces the one that
	 * requested the pause.
	 */
	void clear() {
		this.until = Long.MIN_VALUE / 2;
		this.slowStart = false;
	}

	boolean isActive(long now) {
		return now < this.until;
	}

	long until() {
		return this.until;
	}

	/**
	 * Returns whether a call may begin.
	 * @param now monotonic time, in milliseconds
	 * @return whether the pause is over and the slow start permits another call in flight
	 */
	boolean mayBeginCall(long now) {
		return !isActive(now) && (!this.slowStart || this.inFlight < this.maximumInFlight);
	}

	/**
	 * Records the start of a call.
	 * @return whether the call is part of the slow start, so that its response and end
	 * must be recorded
	 */
	boolean beginCall() {
		if (this.slowStart) {
			this.inFlight++;
		}
		return this.slowStart;
	}

	void recordFirstResponse() {
		this.maximumInFlight *= 2;
		if (this.maximumInFlight >= SLOW_START_CALLS) {
			this.slowStart = false;
		}
	}

	void endCall() {
		this.inFlight--;
	}

}
