package org.magnoliahub.serving;

/**
 * What a gateway that was told to stop still takes. Requests that could not end before
 * the process does are refused, so that callers go to another gateway at once.
 */
public final class GracefulShutdown {

	/** Time in which the platform's balancer takes a gateway out of rotation. */
	public static final long ROTATION_REMOVAL_MILLIS = 2_500;

	/** Time before the kill at which the process ends by itself. */
	private static final long GRACE_MARGIN_MILLIS = 300;

	/** Time that a request without a stream is given. */
	private static final long PLAIN_MILLIS = 1_500;

	private final long graceMillis;

	private long began = Long.MAX_VALUE;

	/**
	 * Creates the plan of a gateway that runs.
	 * @param graceMillis time between the signal to stop and the kill, in milliseconds
	 */
	public GracefulShutdown(long graceMillis) {
		this.graceMillis = graceMillis;
	}

	/**
	 * Notes the signal to stop.
	 * @param now monotonic time, in milliseconds
	 */
	public void begin(long now) {
		this.began = Math.min(this.began, now);
	}

	/**
	 * Returns whether the gateway was told to stop.
	 * @return whether it stops
	 */
	public boolean isShuttingDown() {
		return this.began != Long.MAX_VALUE;
	}

	/**
	 * Returns whether a request that arrives now can be expected to end in time.
	 * @param kind kind of the request
	 * @param now monotonic time, in milliseconds
	 * @return whether to take it
	 */
	public boolean accepts(CallKind kind, long now) {
		if (!isShuttingDown()) {
			return true;
		}
		if (kind == CallKind.STREAMING) {
			return now - this.began < ROTATION_REMOVAL_MILLIS;
		}
		return now < exitDeadline() - PLAIN_MILLIS;
	}

	/**
	 * Returns whether the balancer no longer sends connections.
	 * @param now monotonic time, in milliseconds
	 * @return whether the gateway is out of rotation
	 */
	public boolean isOutOfRotation(long now) {
		return isShuttingDown() && now - this.began > ROTATION_REMOVAL_MILLIS;
	}

	/**
	 * Returns when the process ends, whatever is open.
	 * @return monotonic time, in milliseconds
	 */
	public long exitDeadline() {
		return isShuttingDown() ? this.began + this.graceMillis - GRACE_MARGIN_MILLIS : Long.MAX_VALUE;
	}

}
