package org.magnoliahub.serving;

/**
 * Limit on the requests that this gateway sends to an endpoint for some time.
 */
public interface SendLimit {

	/**
	 * Returns whether the limit is in effect.
	 * @param now monotonic time, in milliseconds
	 * @return whether the number of requests is limited
	 */
	boolean isActive(long now);

	/**
	 * Returns whether a call may begin.
	 * @param now monotonic time, in milliseconds
	 * @return {@code true} if the limit is not in effect or is not reached
	 */
	boolean mayBeginCall(long now);

	/**
	 * Records that a call begins, or that its first bytes are sent.
	 * @param now monotonic time, in milliseconds
	 */
	void recordCall(long now);

	/**
	 * Returns the time until a gateway may begin a call.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, zero if this one may begin a call now
	 */
	long waitMillis(long now);

	/**
	 * Returns when the limit ends.
	 * @return monotonic time in milliseconds, in the past if it is not in effect
	 */
	long until();

	/**
	 * Returns how often the limit has begun. A call that began before the latest time is
	 * not counted by the limit.
	 * @return the number of times
	 */
	int periods();

}
