package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * This gateway's part of the repeats that all gateways together may send to a service
 * within any span of the window.
 * <p>
 * The share that follows from requests is counted by each gateway for its own requests.
 * The constant share is divided by the number of gateways, and halved because a gateway
 * that restarts within the window has no memory of what it used.
 */
public final class WindowedRetryBudget {

	private static final double SAFETY = 0.8;

	private static final double RESTART_SHARE = 0.5;

	private static final int BUCKETS = 20;

	private final double ratio;

	private final double constant;

	private final long bucketMillis;

	private final Map<String, Window> windows = new HashMap<>();

	private int members;

	/**
	 * Creates a budget.
	 * @param ratio repeats allowed for each request
	 * @param constant further repeats allowed to all gateways together
	 * @param windowMillis length of the window, in milliseconds
	 */
	public WindowedRetryBudget(double ratio, double constant, long windowMillis) {
		this.ratio = ratio;
		this.constant = constant;
		this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
		this.members = 8;
	}

	/**
	 * Sets the number of gateways that share the budget.
	 * @param count number of gateways, this one included
	 */
	public void setGatewayCount(int count) {
		this.members = Math.max(4, count);
	}

	/**
	 * Counts the first sending of a request.
	 * @param service the service
	 * @param now monotonic time, in milliseconds
	 */
	public void recordRequest(String service, long now) {
		window(service, now).requests[0]++;
	}

	/**
	 * Takes one repeat if the budget allows it.
	 * @param service the service
	 * @param now monotonic time, in milliseconds
	 * @return whether the request may be sent again
	 */
	public boolean tryAcquire(String service, long now) {
		return tryAcquire(service, 1, now);
	}

	/**
	 * Takes several repeats if the budget allows all of them.
	 * @param service the service
	 * @param count number of repeats
	 * @param now monotonic time, in milliseconds
	 * @return whether they may be sent
	 */
	public boolean tryAcquire(String service, int count, long now) {
		if (availableRetries(service, now) < count) {
			return false;
		}
		window(service, now).repeats[0] += count;
		return true;
	}

	/**
	 * Returns what is left.
	 * @param service the service
	 * @param now monotonic time, in milliseconds
	 * @return repeats that are allowed at present
	 */
	public double availableRetries(String service, long now) {
		Window window = window(service, now);
		double allowed = SAFETY * this.ratio * sum(window.requests) + RESTART_SHARE * this.constant / this.members;
		return allowed - sum(window.repeats);
	}

	private Window window(String service, long now) {
		Window window = this.windows.computeIfAbsent(service, (name) -> new Window(now));
		long steps = (now - window.bucketStart) / this.bucketMillis;
		if (steps > 0) {
			shift(window.requests, steps);
			shift(window.repeats, steps);
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

		private final int[] repeats = new int[BUCKETS + 1];

		private long bucketStart;

		private Window(long now) {
			this.bucketStart = now;
		}

	}

}
