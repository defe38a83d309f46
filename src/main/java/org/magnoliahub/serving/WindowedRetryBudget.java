package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Share of this gateway in the retries that all gateways together may send to a service
 * within any period of the window length.
 * <p>
 * The part that is proportional to requests is based on the requests of this gateway. The
 * constant part is divided by the number of gateways, and halved because a gateway that
 * restarts within the window does not know how much of it was used before.
 */
public final class WindowedRetryBudget {

	/** Margin below the permitted ratio of retries to requests. */
	private static final double SAFETY_FACTOR = 0.8;

	/** Part of the constant share that a gateway uses, in case it restarts. */
	private static final double RESTART_FACTOR = 0.5;

	private static final int BUCKETS = 20;

	private final double ratio;

	private final double constant;

	private final long bucketMillis;

	private final Map<String, Window> windows = new HashMap<>();

	private int gatewayCount;

	/**
	 * Creates a budget.
	 * @param ratio permitted retries per request
	 * @param constant additional retries permitted to all gateways together in a window
	 * @param windowMillis length of the window, in milliseconds
	 */
	public WindowedRetryBudget(double ratio, double constant, long windowMillis) {
		this.ratio = ratio;
		this.constant = constant;
		this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
		this.gatewayCount = 8;
	}

	/**
	 * Sets the number of gateways that share the budget.
	 * @param count number of gateways, including this one
	 */
	public void setGatewayCount(int count) {
		this.gatewayCount = Math.max(4, count);
	}

	/**
	 * Records the first attempt of a request.
	 * @param service name of the service
	 * @param now monotonic time, in milliseconds
	 */
	public void recordRequest(String service, long now) {
		window(service, now).requests[0]++;
	}

	/**
	 * Acquires one retry if the budget permits it.
	 * @param service name of the service
	 * @param now monotonic time, in milliseconds
	 * @return whether the request may be retried
	 */
	public boolean tryAcquire(String service, long now) {
		return tryAcquire(service, 1, now);
	}

	/**
	 * Acquires several retries if the budget permits all of them.
	 * @param service name of the service
	 * @param count number of retries
	 * @param now monotonic time, in milliseconds
	 * @return whether all retries were acquired; otherwise none is
	 */
	public boolean tryAcquire(String service, int count, long now) {
		if (availableRetries(service, now) < count) {
			return false;
		}
		window(service, now).retries[0] += count;
		return true;
	}

	/**
	 * Returns the number of retries that can be acquired now.
	 * @param service name of the service
	 * @param now monotonic time, in milliseconds
	 * @return number of retries, not rounded, negative if the budget is exceeded
	 */
	public double availableRetries(String service, long now) {
		Window window = window(service, now);
		double allowed = SAFETY_FACTOR * this.ratio * sum(window.requests)
				+ RESTART_FACTOR * this.constant / this.gatewayCount;
		return allowed - sum(window.retries);
	}

	private Window window(String service, long now) {
		Window window = this.windows.computeIfAbsent(service, (name) -> new Window(now));
		long steps = (now - window.bucketStart) / this.bucketMillis;
		if (steps > 0) {
			shift(window.requests, steps);
			shift(window.retries, steps);
			window.bucketStart += steps * this.bucketMillis;
		}
		return window;
	}

	private static void shift(int[] buckets, long steps) {
		for (int index = buckets.length - 1; index >= 0; index--) {
			buckets[index] = (index - steps >= 0) ? buckets[(int) (index - steps)] : 0;
		}
	}

	private static int sum(int[] buckets) {
		int total = 0;
		for (int bucket : buckets) {
			total += bucket;
		}
		return total;
	}

	private static final class Window {

		private final int[] requests = new int[BUCKETS + 1];

		private final int[] retries = new int[BUCKETS + 1];

		private long bucketStart;

		private Window(long now) {
			this.bucketStart = now;
		}

	}

}
