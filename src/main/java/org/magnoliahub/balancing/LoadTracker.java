package org.magnoliahub.balancing;

/**
 * Tracks the reports of one server and what this gateway sends to it.
 */
public final class LoadTracker {

	/**
	 * Time constant of the smoothed slowdown. The reported value is that of a moment and
	 * changes many times a second, whereas a machine stays slow for seconds.
	 */
	private static final double SLOWDOWN_TIME_MILLIS = 1_000;

	/** Time after the last report in which half of the stated slowdown is forgotten. */
	private static final double SLOWDOWN_HALF_LIFE_MILLIS = 5_000;

	/** Time for which a report with a slowdown shows that the server states it. */
	private static final long STATED_MILLIS = 10_000;

	/** Time constant of the count of requests that were sent. */
	static final double SENT_TIME_MILLIS = 1_500;

	/**
	 * Minimum weight of a response in the deviation of the observed from the stated
	 * speed.
	 */
	private static final double DEVIATION_SMOOTHING = 0.05;

	/** Weight of the assumption that there is no deviation, in responses. */
	private static final double FIRST_RESPONSES = 3;

	/**
	 * Time after the last response in which half of the deviation is forgotten. With 8 s,
	 * one of 48 gateways that gets a response a second learned a third of the deviation.
	 */
	private static final double DEVIATION_HALF_LIFE_MILLIS = 60_000;

	/** Maximum slowdown, and the inverse of the minimum. */
	private static final double MAXIMUM_SLOWDOWN = 10;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long reportedAt = NEVER;

	private boolean stated;

	private long statedAt = NEVER;

	private double otherRequests;

	private double slowdownLogarithm;

	private double deviationLogarithm;

	private long deviationUpdatedAt;

	private int responses;

	private double sent;

	private long sentUpdatedAt;

	/**
	 * Records a report.
	 * @param requests number of running and waiting requests at the server
	 * @param ownRequests how many of them are from this gateway
	 * @param slowdownPercent how long work takes on the machine of the server, in percent
	 * of the usual time; zero if it does not state this, which counts as 100
	 * @param now monotonic time, in milliseconds
	 * @return whether the server began or ceased to state its slowdown
	 */
	public boolean recordReport(int requests, int ownRequests, int slowdownPercent, long now) {
		// A report after a long time replaces the smoothed value, one soon after another
		// hardly changes it.
		double logarithm = (slowdownPercent > 0) ? boundedLogarithm(slowdownPercent / 100.0) : 0;
		double weight = 1 - Math.exp((this.reportedAt - now) / SLOWDOWN_TIME_MILLIS);
		this.slowdownLogarithm += weight * (logarithm - this.slowdownLogarithm);
		this.otherRequests = Math.max(0, requests - ownRequests);
		this.reportedAt = now;
		if (slowdownPercent > 0) {
			this.statedAt = now;
		}
		boolean before = this.stated;
		this.stated = now - this.statedAt <= STATED_MILLIS;
		return this.stated != before;
	}

	/**
	 * Records that this gateway sends a request to the server.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordSent(long now) {
		this.sent = recentlySent(now) + 1;
		this.sentUpdatedAt = now;
	}

	/**
	 * Records a response, whose time reveals what the server's own figures do not state,
	 * such as a machine that is always slower than the others.
	 * @param slowdown time to the response relative to the expected time
	 * @param now monotonic time, in milliseconds
	 */
	public void recordResponse(double slowdown, long now) {
		double unstated = boundedLogarithm(slowdown) - statedLogarithm(now);
		double current = deviation(now);
		this.responses++;
		double weight = Math.max(DEVIATION_SMOOTHING, 1 / (FIRST_RESPONSES + this.responses));
		this.deviationLogarithm = current + weight * (unstated - current);
		this.deviationUpdatedAt = now;
	}

	/**
	 * Returns whether a recent report stated the slowdown of the server's machine.
	 * @param now monotonic time, in milliseconds
	 * @return whether the server takes part in balanced load
	 */
	public boolean statesSlowdown(long now) {
		return now - this.statedAt <= STATED_MILLIS;
	}

	/**
	 * Returns how long work takes at the server, as it stated and as observed.
	 * @param now monotonic time, in milliseconds
	 * @return the time relative to the usual one
	 */
	public double slowdown(long now) {
		return Math.exp(statedLogarithm(now) + deviation(now));
	}

	/**
	 * Describes the server for a decision.
	 * @param slots number of requests that the server can process concurrently
	 * @param ownRequests requests of this gateway at the server
	 * @param costMillis expected time to a response without the effect of the load, in
	 * milliseconds
	 * @param now monotonic time, in milliseconds
	 * @return the candidate
	 */
	public Candidate candidate(int slots, int ownRequests, double costMillis, long now) {
		return new Candidate(slots, 1 / slowdown(now), ownRequests, this.otherRequests,
				Math.min(Candidate.NO_REPORT, now - this.reportedAt), recentlySent(now), costMillis);
	}

	private double recentlySent(long now) {
		return this.sent * Math.exp((this.sentUpdatedAt - now) / SENT_TIME_MILLIS);
	}

	private double statedLogarithm(long now) {
		return this.slowdownLogarithm * Math.pow(0.5, (now - this.reportedAt) / SLOWDOWN_HALF_LIFE_MILLIS);
	}

	private double deviation(long now) {
		return this.deviationLogarithm * Math.pow(0.5, (now - this.deviationUpdatedAt) / DEVIATION_HALF_LIFE_MILLIS);
	}

	private static double boundedLogarithm(double slowdown) {
		return Math.log(Math.max(1 / MAXIMUM_SLOWDOWN, Math.min(MAXIMUM_SLOWDOWN, slowdown)));
	}

}
