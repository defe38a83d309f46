package org.magnoliahub.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;

/**
 * Statistics of one gateway about one endpoint: slowdown, slots, load and failures.
 */
final class EndpointStatistics {

	/** Share of its weight that an observation keeps with each later observation. */
	private static final double RETAINED_WEIGHT = 0.92;

	/**
	 * Time constant with which observations lose weight, so that an endpoint that was
	 * avoided for being slow is tried again.
	 */
	private static final double OBSERVATION_DECAY_MILLIS = 15_000;

	/** Weight of the prior slowdown of 1. */
	private static final double PRIOR_WEIGHT = 0.3;

	/**
	 * The last known load of other gateways loses weight with a time constant of this
	 * multiple of the mean execution time, within the bounds below.
	 */
	private static final double LOAD_DECAY_MULTIPLE = 5;

	private static final double MINIMUM_LOAD_DECAY_MILLIS = 50;

	private static final double MAXIMUM_LOAD_DECAY_MILLIS = 2_000;

	/**
	 * Time constant if waiting times do not correct the backlog (first policy version).
	 */
	private static final double FIXED_LOAD_DECAY_MILLIS = 500;

	/**
	 * Maximum share of the slots that other gateways are assumed to use once the last
	 * update of their load has lost its weight. Below 1, so that a gateway that found the
	 * endpoint full tries it again.
	 */
	private static final double MAXIMUM_ASSUMED_SHARE_OF_OTHERS = 0.6;

	/**
	 * Share of the slots that this gateway uses without a recent update of the load of
	 * other gateways. Subsets are sized so that two to three gateways share an endpoint.
	 */
	private static final double OWN_SHARE_WITHOUT_UPDATE = 0.35;

	/**
	 * Maximum number of attempts sent beyond the estimated slots to an endpoint with
	 * short executions.
	 */
	private static final double MAXIMUM_OVERCOMMIT_ATTEMPTS = 4;

	/** Round-trip and processing time that is neither execution nor waiting time. */
	private static final double ROUND_TRIP_MILLIS = 3;

	private static final int INITIAL_SLOTS = 4;

	private static final int MAXIMUM_SLOTS = 1024;

	/**
	 * Outstanding attempts older than this multiple of their expected time count as
	 * observations of their age.
	 */
	private static final double SLOW_MULTIPLE = 2;

	/**
	 * Time for which the slowdown is cached, which depends on the age of attempts.
	 */
	private static final double SLOWDOWN_CACHE_MILLIS = 5;

	/**
	 * Ejection after the first failure. It doubles with each consecutive failure, and
	 * varies at random by up to half.
	 */
	private static final double INITIAL_EJECTION_MILLIS = 250;

	private static final double MAXIMUM_EJECTION_MILLIS = 8_000;

	/** An agent whose time goes back by more than this has restarted. */
	private static final long RESTART_THRESHOLD_MILLIS = 10_000;

	private static final int MAXIMUM_PREFIXES = 64;

	private final Endpoint endpoint;

	private final boolean sameZone;

	private final boolean backlogFromWaits;

	private final List<Attempt> outstanding = new ArrayList<>();

	private final Map<Long, Boolean> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true) {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > MAXIMUM_PREFIXES;
		}
	};

	private double meanExecutionMillis;

	/** Decaying sum of the ratios of observed to expected execution time. */
	private double sumObserved;

	/** Decaying number of the observations in {@link #sumObserved}. */
	private double sumExpected;

	private double lastObservedAtMillis;

	private double slots = INITIAL_SLOTS;

	private double loadOfOthers;

	private double meanLoadOfOthers;

	/** Time of the last load report or of the last correction from a waiting time. */
	private double loadUpdatedAtMillis = Double.NEGATIVE_INFINITY;

	private long lastReportAgentMillis = -1;

	private boolean usable = true;

	private int consecutiveFailures;

	private double ejectedUntilMillis = Double.NEGATIVE_INFINITY;

	/** 1 after a failure, then raised by one with each completed attempt. */
	private double outstandingLimit = MAXIMUM_SLOTS;

	private double cachedSlowdown = 1;

	private double cachedObservedSlowdown = 1;

	private double cachedAtMillis = Double.NEGATIVE_INFINITY;

	EndpointStatistics(Endpoint endpoint, boolean sameZone, boolean backlogFromWaits) {
		this.endpoint = endpoint;
		this.backlogFromWaits = backlogFromWaits;
		this.sameZone = sameZone;
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	boolean sameZone() {
		return this.sameZone;
	}

	double slots() {
		return this.slots;
	}

	int outstanding() {
		return this.outstanding.size();
	}

	boolean hasPrefixCached(long prefixHash) {
		return prefixHash != 0 && this.cachedPrefixes.containsKey(prefixHash);
	}

	/**
	 * Returns how much slower than the mean of its pool the endpoint is.
	 * @param now time in milliseconds
	 * @param includeOutstanding whether the age of slow outstanding attempts counts as an
	 * observation
	 * @return the slowdown, above 1 for a slow endpoint
	 */
	double slowdown(double now, boolean includeOutstanding) {
		if (now - this.cachedAtMillis < SLOWDOWN_CACHE_MILLIS) {
			return this.cachedSlowdown;
		}
		double retained = Math.exp(-(now - this.lastObservedAtMillis) / OBSERVATION_DECAY_MILLIS);
		double observed = this.sumObserved * retained + PRIOR_WEIGHT;
		double expected = this.sumExpected * retained + PRIOR_WEIGHT;
		double slowdown = observed / expected;
		this.cachedObservedSlowdown = slowdown;
		if (includeOutstanding) {
			double slowObserved = 0;
			double slowExpected = 0;
			for (Attempt attempt : this.outstanding) {
				double ratio = attempt.ageRatio(now);
				if (ratio > SLOW_MULTIPLE * slowdown) {
					slowObserved += ratio;
					slowExpected += 1;
				}
			}
			slowdown = (observed + slowObserved) / (expected + slowExpected);
		}
		this.cachedSlowdown = slowdown;
		this.cachedAtMillis = now;
		return slowdown;
	}

	/**
	 * Returns the slowdown by completed attempts only.
	 * @param now time in milliseconds
	 * @return the slowdown, above 1 for a slow endpoint
	 */
	double observedSlowdown(double now) {
		slowdown(now, true);
		return this.cachedObservedSlowdown;
	}

	/**
	 * Returns the estimated number of calls of all gateways at the endpoint.
	 * @param now time in milliseconds
	 * @return running and waiting calls
	 */
	double estimatedLoad(double now) {
		return this.outstanding.size() + estimatedLoadOfOthers(now);
	}

	/**
	 * Returns the estimated number of calls of other gateways at the endpoint.
	 * @param now time in milliseconds
	 * @return running and waiting calls
	 */
	double estimatedLoadOfOthers(double now) {
		double ageMillis = now - this.loadUpdatedAtMillis;
		if (!this.backlogFromWaits) {
			double updateWeight = Math.exp(-ageMillis / FIXED_LOAD_DECAY_MILLIS);
			return this.loadOfOthers * updateWeight + this.meanLoadOfOthers * (1 - updateWeight);
		}
		double updateWeight = Math.exp(-ageMillis / loadDecayMillis());
		return this.loadOfOthers * updateWeight
				+ Math.min(this.meanLoadOfOthers, MAXIMUM_ASSUMED_SHARE_OF_OTHERS * this.slots) * (1 - updateWeight);
	}

	private double loadDecayMillis() {
		return Math.max(MINIMUM_LOAD_DECAY_MILLIS,
				Math.min(MAXIMUM_LOAD_DECAY_MILLIS, LOAD_DECAY_MULTIPLE * this.meanExecutionMillis));
	}

	boolean hasCapacity(double now, SchedulerParameters parameters) {
		if (now < this.ejectedUntilMillis || this.outstanding.size() >= this.outstandingLimit) {
			return false;
		}
		double overcommitByTime = this.slots * parameters.overcommitMillis() / Math.max(1, this.meanExecutionMillis);
		if (estimatedLoad(now) < this.slots
				+ Math.max(parameters.overcommit(), Math.min(MAXIMUM_OVERCOMMIT_ATTEMPTS, overcommitByTime))) {
			return true;
		}
		return this.backlogFromWaits && now - this.loadUpdatedAtMillis > loadDecayMillis()
				&& this.outstanding.size() < OWN_SHARE_WITHOUT_UPDATE * this.slots;
	}

	/**
	 * Returns whether the endpoint is disconnected, draining or ejected.
	 * @param now time in milliseconds
	 * @return whether it gets no new work
	 */
	boolean isUnavailable(double now) {
		return !this.usable || now < this.ejectedUntilMillis;
	}

	boolean isUsable() {
		return this.usable;
	}

	/**
	 * Records whether the endpoint is connected and not draining.
	 * @param nowUsable whether it accepts new work
	 */
	void setUsable(boolean nowUsable) {
		this.usable = nowUsable;
	}

	/**
	 * Returns the expected time until a new call would start.
	 * @param now time in milliseconds
	 * @param executionMillis mean execution time at this endpoint
	 * @return the time, in milliseconds
	 */
	double waitMillis(double now, double executionMillis) {
		return Math.max(0, estimatedLoad(now) + 1 - this.slots) * executionMillis / this.slots;
	}

	/**
	 * Records that an attempt is sent.
	 * @param now time in milliseconds
	 * @param expectedMillis expected execution time at slowdown 1, 0 if unknown
	 * @param waitMillis expected time until it starts
	 * @param prefixHash hash of the prompt prefix, 0 if unknown
	 * @return the attempt
	 */
	Attempt start(double now, double expectedMillis, double waitMillis, long prefixHash) {
		Attempt attempt = new Attempt(now, now + waitMillis, expectedMillis, this.outstanding.size());
		this.outstanding.add(attempt);
		if (prefixHash != 0) {
			this.cachedPrefixes.put(prefixHash, true);
		}
		return attempt;
	}

	void end(Attempt attempt) {
		this.outstanding.remove(attempt);
		this.cachedAtMillis = Double.NEGATIVE_INFINITY;
	}

	/**
	 * Records the execution time of a completed attempt.
	 * @param now time in milliseconds
	 * @param attempt the attempt
	 * @param executionMillis execution time
	 * @param expectedMillis expected execution time at slowdown 1
	 */
	void completed(double now, Attempt attempt, double executionMillis, double expectedMillis) {
		double retained = RETAINED_WEIGHT * Math.exp(-(now - this.lastObservedAtMillis) / OBSERVATION_DECAY_MILLIS);
		this.lastObservedAtMillis = now;
		if (expectedMillis > 0) {
			// The ratio gives each stage the same weight, whatever its execution time.
			this.sumObserved = this.sumObserved * retained + executionMillis / expectedMillis;
			this.sumExpected = this.sumExpected * retained + 1;
		}
		this.meanExecutionMillis += 0.1 * (executionMillis - this.meanExecutionMillis);
		if (this.backlogFromWaits) {
			correctBacklog(now, attempt, now - attempt.sentAtMillis - executionMillis - ROUND_TRIP_MILLIS);
		}
		this.consecutiveFailures = 0;
		this.outstandingLimit = Math.min(MAXIMUM_SLOTS, this.outstandingLimit + 1);
	}

	// Derives the load of other gateways from the time that an attempt waited: it shows
	// how many calls were ahead of it.
	private void correctBacklog(double now, Attempt attempt, double waitedMillis) {
		double estimated = estimatedLoadOfOthers(now);
		double executionMillis = Math.max(1, this.meanExecutionMillis);
		if (waitedMillis > 0.1 * executionMillis) {
			double total = this.slots * (1 + waitedMillis / executionMillis);
			this.loadOfOthers = Math.max(0, total - attempt.outstandingBefore);
		}
		else {
			this.loadOfOthers = Math.max(0, Math.min(estimated, this.slots - 1 - attempt.outstandingBefore));
		}
		this.meanLoadOfOthers += 0.05 * (this.loadOfOthers - this.meanLoadOfOthers);
		this.loadUpdatedAtMillis = now;
	}

	/**
	 * Ejects the endpoint after a failure. Afterwards it gets one call at a time at
	 * first, and one more with each completed attempt.
	 * @param now time in milliseconds
	 * @param random varies the ejection, so that gateways do not probe at the same time
	 */
	void failed(double now, RandomGenerator random) {
		if (now < this.ejectedUntilMillis) {
			return;
		}
		double ejectionMillis = Math.min(MAXIMUM_EJECTION_MILLIS,
				INITIAL_EJECTION_MILLIS * Math.pow(2, this.consecutiveFailures));
		this.consecutiveFailures++;
		this.ejectedUntilMillis = now + ejectionMillis * (0.5 + random.nextDouble());
		this.outstandingLimit = 1;
	}

	/**
	 * Applies a load report, unless it is not newer than the last one.
	 * @param now time in milliseconds
	 * @param report the report
	 */
	void loadReported(double now, Message.LoadReport report) {
		long elapsedAgentMillis = report.agentMillis() - this.lastReportAgentMillis;
		if (elapsedAgentMillis <= 0 && elapsedAgentMillis > -RESTART_THRESHOLD_MILLIS) {
			return;
		}
		this.lastReportAgentMillis = report.agentMillis();
		this.loadUpdatedAtMillis = now;
		int total = report.running() + report.waiting();
		this.loadOfOthers = Math.max(0, total - this.outstanding.size());
		this.meanLoadOfOthers += 0.2 * (this.loadOfOthers - this.meanLoadOfOthers);
		if (report.waiting() > 0 && report.running() > 0) {
			this.slots = Math.min(MAXIMUM_SLOTS, report.running());
		}
		else if (report.running() > this.slots) {
			this.slots = Math.min(MAXIMUM_SLOTS, report.running());
		}
	}

	/**
	 * An outstanding attempt.
	 */
	static final class Attempt {

		private final double sentAtMillis;

		private final double expectedStartMillis;

		private final double expectedMillis;

		private final int outstandingBefore;

		private Attempt(double sentAtMillis, double expectedStartMillis, double expectedMillis, int outstandingBefore) {
			this.outstandingBefore = outstandingBefore;
			this.sentAtMillis = sentAtMillis;
			this.expectedStartMillis = expectedStartMillis;
			this.expectedMillis = expectedMillis;
		}

		private double ageRatio(double now) {
			return (this.expectedMillis > 0) ? (now - this.expectedStartMillis) / this.expectedMillis : 0;
		}

	}

}
