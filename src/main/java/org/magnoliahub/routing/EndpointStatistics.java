package org.magnoliahub.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;

/**
 * What one gateway knows of one endpoint: its speed, its slots, its backlog and its
 * failures.
 */
final class EndpointStatistics {

	/** Weight that an observation keeps after one further one. */
	private static final double RETAINED_WEIGHT = 0.92;

	/**
	 * Observations lose their weight with this time constant, so that an endpoint that
	 * was avoided is tried again.
	 */
	private static final double FORGETTING_MILLIS = 15_000;

	/** Weight of the prior speed factor of 1. */
	private static final double PRIOR_WEIGHT = 0.3;

	/**
	 * Knowledge of other gateways' load fades with a time constant of this multiple of
	 * the execution time, within the bounds below.
	 */
	private static final double TRUST_MULTIPLE = 5;

	private static final double SHORTEST_TRUST_MILLIS = 50;

	private static final double LONGEST_TRUST_MILLIS = 2_000;

	/** Time constant of the first version of the policy. */
	private static final double FIXED_TRUST_MILLIS = 500;

	/**
	 * Share of the slots that other gateways are taken to use at most when nothing recent
	 * is known. Below 1, so that a gateway that saw a full endpoint tries it again.
	 */
	private static final double UNKNOWN_SHARE = 0.6;

	/**
	 * Share of the slots that a gateway uses without recent knowledge. Subsets are such
	 * that two to three gateways share an endpoint.
	 */
	private static final double OWN_SHARE = 0.35;

	/** Most attempts sent beyond the estimated slots. */
	private static final double MAXIMUM_OVERCOMMIT = 4;

	/** Round trip and processing beyond the execution time that is no waiting. */
	private static final double ROUND_TRIP_MILLIS = 3;

	private static final int INITIAL_SLOTS = 4;

	private static final int MAXIMUM_SLOTS = 1024;

	/** Attempts older than this multiple of their expected time count as slow. */
	private static final double SLOW_MULTIPLE = 2;

	/** Estimates that depend on ages are computed again after this time. */
	private static final double REFRESH_MILLIS = 5;

	private static final double FIRST_PAUSE_MILLIS = 250;

	private static final double LONGEST_PAUSE_MILLIS = 8_000;

	/** An agent's time that goes back by more than this means that it restarted. */
	private static final long RESTART_MILLIS = 10_000;

	private static final int PREFIXES = 64;

	private final Endpoint endpoint;

	private final boolean sameZone;

	private final boolean backlogFromWaits;

	private final List<Attempt> outstanding = new ArrayList<>();

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true) {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
			return size() > PREFIXES;
		}
	};

	private double meanExecutionMillis;

	private double sumObserved;

	private double sumExpected;

	private double observedAtMillis;

	private double slots = INITIAL_SLOTS;

	private double others;

	private double othersMean;

	private double reportedAtMillis = Double.NEGATIVE_INFINITY;

	private long reportAgentMillis = -1;

	private boolean usable = true;

	private int consecutiveFailures;

	private double pausedUntilMillis = Double.NEGATIVE_INFINITY;

	private double window = MAXIMUM_SLOTS;

	private double cachedFactor = 1;

	private double cachedObservedFactor = 1;

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

	boolean isWarm(long prefix) {
		return prefix != 0 && this.prefixes.containsKey(prefix);
	}

	/**
	 * Returns how much slower than the mean of its pool the endpoint is.
	 * @param now time in milliseconds
	 * @param censored whether ages of outstanding attempts count
	 * @return the factor, above 1 for a slow endpoint
	 */
	double factor(double now, boolean censored) {
		if (now - this.cachedAtMillis < REFRESH_MILLIS) {
			return this.cachedFactor;
		}
		double retained = Math.exp(-(now - this.observedAtMillis) / FORGETTING_MILLIS);
		double observed = this.sumObserved * retained + PRIOR_WEIGHT;
		double expected = this.sumExpected * retained + PRIOR_WEIGHT;
		double factor = observed / expected;
		this.cachedObservedFactor = factor;
		if (censored) {
			double slowObserved = 0;
			double slowExpected = 0;
			for (Attempt attempt : this.outstanding) {
				double ratio = attempt.ageRatio(now);
				if (ratio > SLOW_MULTIPLE * factor) {
					slowObserved += ratio;
					slowExpected += 1;
				}
			}
			factor = (observed + slowObserved) / (expected + slowExpected);
		}
		this.cachedFactor = factor;
		this.cachedAtMillis = now;
		return factor;
	}

	/**
	 * Returns the factor from completed attempts only.
	 * @param now time in milliseconds
	 * @return the factor, above 1 for a slow endpoint
	 */
	double observedFactor(double now) {
		factor(now, true);
		return this.cachedObservedFactor;
	}

	/**
	 * Returns the estimated number of calls at the endpoint, of all gateways.
	 * @param now time in milliseconds
	 * @return running and waiting calls
	 */
	double load(double now) {
		return this.outstanding.size() + othersAt(now);
	}

	/**
	 * Returns the estimated number of calls of other gateways.
	 * @param now time in milliseconds
	 * @return running and waiting calls
	 */
	double othersAt(double now) {
		double age = now - this.reportedAtMillis;
		if (!this.backlogFromWaits) {
			double trust = Math.exp(-age / FIXED_TRUST_MILLIS);
			return this.others * trust + this.othersMean * (1 - trust);
		}
		double trust = Math.exp(-age / trustMillis());
		return this.others * trust + Math.min(this.othersMean, UNKNOWN_SHARE * this.slots) * (1 - trust);
	}

	private double trustMillis() {
		return Math.max(SHORTEST_TRUST_MILLIS,
				Math.min(LONGEST_TRUST_MILLIS, TRUST_MULTIPLE * this.meanExecutionMillis));
	}

	boolean hasRoom(double now, SchedulerParameters parameters) {
		if (now < this.pausedUntilMillis || this.outstanding.size() >= this.window) {
			return false;
		}
		double shortOnes = this.slots * parameters.overcommitMillis() / Math.max(1, this.meanExecutionMillis);
		if (load(now) < this.slots + Math.max(parameters.overcommit(), Math.min(MAXIMUM_OVERCOMMIT, shortOnes))) {
			return true;
		}
		return this.backlogFromWaits && now - this.reportedAtMillis > trustMillis()
				&& this.outstanding.size() < OWN_SHARE * this.slots;
	}

	boolean isPaused(double now) {
		return !this.usable || now < this.pausedUntilMillis;
	}

	boolean isUsable() {
		return this.usable;
	}

	/**
	 * Records whether the endpoint is connected and not draining.
	 * @param nowUsable whether it takes new work
	 */
	void setUsable(boolean nowUsable) {
		this.usable = nowUsable;
	}

	/**
	 * Returns the time until a new call would start.
	 * @param now time in milliseconds
	 * @param executionMillis mean execution time at this endpoint
	 * @return milliseconds
	 */
	double waitMillis(double now, double executionMillis) {
		return Math.max(0, load(now) + 1 - this.slots) * executionMillis / this.slots;
	}

	/**
	 * Records that an attempt is sent.
	 * @param now time in milliseconds
	 * @param expectedMillis expected execution time at speed factor 1, 0 if unknown
	 * @param waitMillis expected time until it starts
	 * @param prefix hash of its prompt prefix, 0 if unknown
	 * @return the attempt
	 */
	Attempt start(double now, double expectedMillis, double waitMillis, long prefix) {
		Attempt attempt = new Attempt(now, now + waitMillis, expectedMillis, this.outstanding.size());
		this.outstanding.add(attempt);
		if (prefix != 0) {
			this.prefixes.put(prefix, true);
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
	 * @param millis execution time
	 * @param expectedMillis expected execution time at speed factor 1
	 */
	void completed(double now, Attempt attempt, double millis, double expectedMillis) {
		double retained = RETAINED_WEIGHT * Math.exp(-(now - this.observedAtMillis) / FORGETTING_MILLIS);
		this.observedAtMillis = now;
		if (expectedMillis > 0) {
			// Dividing by the expectation gives every stage the same weight.
			this.sumObserved = this.sumObserved * retained + millis / expectedMillis;
			this.sumExpected = this.sumExpected * retained + 1;
		}
		this.meanExecutionMillis += 0.1 * (millis - this.meanExecutionMillis);
		if (this.backlogFromWaits) {
			correctBacklog(now, attempt, now - attempt.sentMillis - millis - ROUND_TRIP_MILLIS);
		}
		this.consecutiveFailures = 0;
		this.window = Math.min(MAXIMUM_SLOTS, this.window + 1);
	}

	// The time that an attempt waited shows how many calls were ahead of it.
	private void correctBacklog(double now, Attempt attempt, double waitedMillis) {
		double current = othersAt(now);
		double execution = Math.max(1, this.meanExecutionMillis);
		if (waitedMillis > 0.1 * execution) {
			double total = this.slots * (1 + waitedMillis / execution);
			this.others = Math.max(0, total - attempt.outstandingBefore);
		}
		else {
			this.others = Math.max(0, Math.min(current, this.slots - 1 - attempt.outstandingBefore));
		}
		this.othersMean += 0.05 * (this.others - this.othersMean);
		this.reportedAtMillis = now;
	}

	/**
	 * Pauses the endpoint after a failure; afterwards it regains traffic one call at a
	 * time.
	 * @param now time in milliseconds
	 * @param random spreads the probes of several gateways
	 */
	void failed(double now, RandomGenerator random) {
		if (now < this.pausedUntilMillis) {
			return;
		}
		double pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS * Math.pow(2, this.consecutiveFailures));
		this.consecutiveFailures++;
		this.pausedUntilMillis = now + pause * (0.5 + random.nextDouble());
		this.window = 1;
	}

	/**
	 * Takes over a load report, unless it is older than the last one.
	 * @param now time in milliseconds
	 * @param report the report
	 */
	void reported(double now, Message.LoadReport report) {
		long progress = report.agentMillis() - this.reportAgentMillis;
		if (progress <= 0 && progress > -RESTART_MILLIS) {
			return;
		}
		this.reportAgentMillis = report.agentMillis();
		this.reportedAtMillis = now;
		int total = report.running() + report.waiting();
		this.others = Math.max(0, total - this.outstanding.size());
		this.othersMean += 0.2 * (this.others - this.othersMean);
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

		private final double sentMillis;

		private final double startMillis;

		private final double expectedMillis;

		private final int outstandingBefore;

		private Attempt(double sentMillis, double startMillis, double expectedMillis, int outstandingBefore) {
			this.outstandingBefore = outstandingBefore;
			this.sentMillis = sentMillis;
			this.startMillis = startMillis;
			this.expectedMillis = expectedMillis;
		}

		private double ageRatio(double now) {
			return (this.expectedMillis > 0) ? (now - this.startMillis) / this.expectedMillis : 0;
		}

	}

}
