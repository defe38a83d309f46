package org.magnoliahub.serving;

/**
 * Decides which requests a gateway still accepts after it received the signal to stop.
 * Requests that cannot end before the process exits are refused, so that callers go to
 * another gateway at once.
 */
public final class GracefulShutdown {

	/** Time that the load balancer needs to take the gateway out of rotation. */
	public static final long ROTATION_REMOVAL_MILLIS = 2_500;

	/** Time between the exit of the process and the kill by the platform. */
	private static final long EXIT_MARGIN_MILLIS = 300;

	/**
	 * Time before the exit from which requests are no longer accepted, and those that
	 * have not been sent to an endpoint are refused. It covers the execution of a
	 * non-streaming request that was sent just before.
	 */
	private static final long REFUSAL_MILLIS = 1_500;

	/**
	 * Time before the exit at which requests with an unknown outcome are failed. The
	 * responses have this time to reach callers on slow links.
	 */
	private static final long FAILURE_MILLIS = 500;

	private final long graceMillis;

	private long startedAt = Long.MAX_VALUE;

	/**
	 * Creates the state of a gateway that is not shutting down.
	 * @param graceMillis time between the signal to stop and the kill, in milliseconds
	 */
	public GracefulShutdown(long graceMillis) {
		this.graceMillis = graceMillis;
	}

	/**
	 * Starts the shutdown. Further invocations have no effect.
	 * @param now monotonic time, in milliseconds
	 */
	public void begin(long now) {
		this.startedAt = Math.min(this.startedAt, now);
	}

	/**
	 * Returns whether the gateway is shutting down.
	 * @return whether the shutdown has been started
	 */
	public boolean isShuttingDown() {
		return this.startedAt != Long.MAX_VALUE;
	}

	/**
	 * Returns whether a request that arrives now is accepted.
	 * @param kind kind of the request
	 * @param expectedMillis how long such requests take at most, in milliseconds
	 * @param now monotonic time, in milliseconds
	 * @return whether the request is expected to end before the process exits
	 */
	public boolean accepts(CallKind kind, long expectedMillis, long now) {
		if (!isShuttingDown()) {
			return true;
		}
		if (kind == CallKind.STREAMING) {
			return now - this.startedAt < ROTATION_REMOVAL_MILLIS;
		}
		return !mustRefuseUnsent(now) && now + expectedMillis < exitDeadline() - FAILURE_MILLIS;
	}

	/**
	 * Returns whether requests that no endpoint can have executed must be refused,
	 * because they cannot be completed before the process exits.
	 * @param now monotonic time, in milliseconds
	 * @return whether unsent requests must be refused
	 */
	public boolean mustRefuseUnsent(long now) {
		return now >= exitDeadline() - REFUSAL_MILLIS;
	}

	/**
	 * Returns whether requests whose response has not begun must be failed, so that the
	 * failure reaches their callers before the process exits.
	 * @param now monotonic time, in milliseconds
	 * @return whether requests without a response must be failed
	 */
	public boolean mustFailUnanswered(long now) {
		return now >= exitDeadline() - FAILURE_MILLIS;
	}

	/**
	 * Returns whether the load balancer no longer opens connections to this gateway.
	 * @param now monotonic time, in milliseconds
	 * @return whether the gateway is out of rotation
	 */
	public boolean isOutOfRotation(long now) {
		return isShuttingDown() && now - this.startedAt > ROTATION_REMOVAL_MILLIS;
	}

	/**
	 * Returns the time at which the process exits even if requests are open.
	 * @return monotonic time in milliseconds, the maximum value while the gateway runs
	 */
	public long exitDeadline() {
		return isShuttingDown() ? this.startedAt + this.graceMillis - EXIT_MARGIN_MILLIS : Long.MAX_VALUE;
	}

}
