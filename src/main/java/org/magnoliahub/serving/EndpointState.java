package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.balancing.LoadTracker;

/**
 * State of one endpoint as this gateway sees it, derived from its record in the store and
 * from its responses.
 */
public final class EndpointState {

	/** Ejection after the first failure; it doubles with each further one in a row. */
	private static final long INITIAL_EJECTION_MILLIS = 250;

	/** Maximum ejection after consecutive failures. */
	private static final long MAXIMUM_EJECTION_MILLIS = 4_000;

	private static final double FAILURE_SMOOTHING = 0.2;

	private static final double SLOWDOWN_SMOOTHING = 0.1;

	/** Half-life of the observed failure rate. */
	private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

	/** Half-life of the observed deviation from the typical speed. */
	private static final double SLOWDOWN_HALF_LIFE_MILLIS = 8_000;

	/** Maximum slowdown that one response indicates; its inverse is the minimum. */
	private static final double MAXIMUM_SLOWDOWN = 10;

	/** Time for which a reported load is used. */
	private static final long LOAD_VALID_MILLIS = 2_000;

	private EndpointRecord record;

	private final RecordOrder recordOrder = new RecordOrder();

	private boolean doubtful;

	private long expiresAt = Long.MAX_VALUE;

	private boolean draining;

	private final RequestedPause requestedPause = new RequestedPause();

	private final RequestedRate requestedRate = new RequestedRate();

	private @Nullable SendLimit sendLimit;

	private final List<EndpointCall> awaitingResponse = new ArrayList<>();

	private int outstandingCalls;

	private long lastResponseAt = Long.MIN_VALUE / 2;

	private int consecutiveFailures;

	private long ejectedUntil = Long.MIN_VALUE / 2;

	private double failureRate;

	private long failureRateUpdatedAt;

	private double slowdown = 1;

	private long slowdownUpdatedAt;

	private long uncachedTokens;

	private @Nullable EndpointLoad load;

	private long loadReportedAt = Long.MIN_VALUE / 2;

	private int outstandingAtLoadReport;

	private @Nullable LoadTracker loadTracker;

	private final PromptCacheEstimate promptCache = new PromptCacheEstimate();

	EndpointState(EndpointRecord record) {
		this.record = record;
		this.draining = record.draining();
	}

	/**
	 * Returns the record of the endpoint.
	 * @return the latest record
	 */
	public EndpointRecord record() {
		return this.record;
	}

	/**
	 * Returns what decides which records of the endpoint count.
	 * @return the order of its records
	 */
	RecordOrder recordOrder() {
		return this.recordOrder;
	}

	/**
	 * Applies a record that counts.
	 * @param newRecord the record
	 * @param judgement why it counts
	 */
	void update(EndpointRecord newRecord, RecordOrder.Judgement judgement) {
		this.recordOrder.applied(judgement);
		this.doubtful = judgement == RecordOrder.Judgement.DOUBTFUL;
		boolean restarted = !newRecord.isSameProcess(this.record) || !newRecord.address().equals(this.record.address());
		if (!newRecord.isSameProcess(this.record)) {
			this.draining = false;
			this.requestedPause.clear();
			this.requestedRate.clear();
		}
		this.record = newRecord;
		this.draining |= newRecord.draining();
		this.expiresAt = Long.MAX_VALUE;
		if (restarted) {
			this.promptCache.clear();
			this.consecutiveFailures = 0;
			this.ejectedUntil = Long.MIN_VALUE / 2;
			this.slowdown = 1;
			this.loadTracker = null;
		}
	}

	/**
	 * Marks the endpoint as draining. Only a new process with the same id accepts work
	 * again.
	 * @return whether the endpoint was not draining before
	 */
	public boolean markDraining() {
		boolean changed = !this.draining;
		this.draining = true;
		return changed;
	}

	/**
	 * Returns whether the endpoint is draining.
	 * @return whether it accepts no new work
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Records that the endpoint requested a pause.
	 * @param now monotonic time, in milliseconds
	 * @param millis length of the pause, in milliseconds
	 */
	public void requestPause(long now, long millis) {
		this.requestedPause.request(now, millis);
	}

	/**
	 * Returns whether a pause that the endpoint requested is in effect.
	 * @param now monotonic time, in milliseconds
	 * @return whether no request may be sent
	 */
	public boolean isPauseRequested(long now) {
		return this.requestedPause.isActive(now);
	}

	/**
	 * Returns the end of the latest pause that the endpoint requested.
	 * @return monotonic time in milliseconds, in the past if no pause is in effect
	 */
	public long requestedPauseEnd() {
		return this.requestedPause.until();
	}

	/**
	 * Records the request rate that a response of the endpoint stated.
	 * @param now monotonic time, in milliseconds
	 * @param perSecond requests per second that the endpoint accepts from all gateways
	 * @param share part of this gateway
	 * @return whether the rate is new or changed
	 */
	public boolean limitRate(long now, double perSecond, RateShare share) {
		return this.requestedRate.state(now, perSecond, share);
	}

	/**
	 * Records that a response of the endpoint stated no request rate.
	 * @param now monotonic time, in milliseconds
	 * @return whether an earlier rate ended
	 */
	public boolean endRateLimit(long now) {
		return this.requestedRate.stateNone(now);
	}

	/**
	 * Returns the request rate that the endpoint accepts from all gateways.
	 * @return requests per second, zero if it stated none
	 */
	public double requestsPerSecond() {
		return this.requestedRate.perSecond();
	}

	/**
	 * Returns how long the endpoint accepts no request of this gateway, because of a
	 * requested pause or rate, or because the endpoint is cold.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, zero if it accepts one
	 */
	long blockedMillis(long now) {
		long requested = Math.max(this.requestedRate.waitMillis(now), Math.max(0, this.requestedPause.until() - now));
		return (this.sendLimit != null) ? Math.max(requested, this.sendLimit.waitMillis(now)) : requested;
	}

	/**
	 * Returns whether new work may be sent. Ejected and unresponsive endpoints count as
	 * available.
	 * @param now monotonic time, in milliseconds
	 * @return whether the endpoint is neither draining nor expired nor paused, and is not
	 * at the limit of its slow start, of its request rate or of its cold time
	 */
	public boolean isAvailable(long now) {
		return !this.draining && !isExpired(now) && this.requestedPause.mayBeginCall(now)
				&& this.requestedRate.mayBeginCall(now) && (this.sendLimit == null || this.sendLimit.mayBeginCall(now));
	}

	/**
	 * Sets the limit on requests to the endpoint, for example while it is cold.
	 * @param limit the limit
	 */
	public void setSendLimit(SendLimit limit) {
		this.sendLimit = limit;
	}

	/**
	 * Returns the limit on requests to the endpoint.
	 * @return the limit, or {@code null} if none was set
	 */
	public @Nullable SendLimit sendLimit() {
		return this.sendLimit;
	}

	/**
	 * Returns whether a limit on requests to the endpoint is in effect.
	 * @param now monotonic time, in milliseconds
	 * @return whether the number of requests is limited
	 */
	public boolean isSendLimited(long now) {
		return this.sendLimit != null && this.sendLimit.isActive(now);
	}

	/**
	 * Returns how often a limit on requests to the endpoint has begun.
	 * @return the number of times
	 */
	public int sendLimitPeriods() {
		return (this.sendLimit != null) ? this.sendLimit.periods() : 0;
	}

	/**
	 * Records that the bytes of a call are sent, which may be later than its beginning.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordSending(long now) {
		if (this.sendLimit != null) {
			this.sendLimit.recordCall(now);
		}
	}

	void startGracePeriod(long until) {
		this.expiresAt = until;
	}

	boolean isInGracePeriod() {
		return this.expiresAt != Long.MAX_VALUE;
	}

	/**
	 * Returns whether the endpoint may have gone: its record is missing, or may have been
	 * written before its removal.
	 * @return whether other endpoints are preferred
	 */
	boolean isDoubtful() {
		return this.doubtful || isInGracePeriod();
	}

	boolean isExpired(long now) {
		return now >= this.expiresAt;
	}

	/**
	 * Records that a request is sent.
	 * @param now monotonic time, in milliseconds
	 * @param expectedMillis expected time to the first bytes of the response, in
	 * milliseconds
	 * @param uncachedTokens prompt tokens that the endpoint has to process
	 * @return the call, whose response and end must be recorded
	 */
	public EndpointCall beginCall(long now, double expectedMillis, int uncachedTokens) {
		this.requestedRate.beginCall(now);
		recordSending(now);
		EndpointCall call = new EndpointCall(this, now, expectedMillis, uncachedTokens,
				this.requestedPause.beginCall());
		this.awaitingResponse.add(call);
		this.outstandingCalls++;
		this.uncachedTokens += uncachedTokens;
		if (this.loadTracker != null) {
			this.loadTracker.recordSent(now);
		}
		return call;
	}

	void recordFirstResponse(EndpointCall call, long now) {
		if (!this.awaitingResponse.remove(call)) {
			return;
		}
		this.uncachedTokens -= call.uncachedTokens();
		this.lastResponseAt = now;
		if (call.isSlowStart()) {
			this.requestedPause.recordFirstResponse();
		}
		double ratio = Math.max(0.05, now - call.sentMillis()) / Math.max(1, call.expectedMillis());
		double bounded = Math.min(MAXIMUM_SLOWDOWN, Math.max(1 / MAXIMUM_SLOWDOWN, ratio));
		// A geometric mean limits the effect of a few long requests.
		double current = slowdown(now);
		this.slowdown = current * Math.pow(bounded / current, SLOWDOWN_SMOOTHING);
		this.slowdownUpdatedAt = now;
		if (this.loadTracker != null) {
			this.loadTracker.recordResponse(bounded, now);
		}
	}

	void recordRejection(EndpointCall call, long now) {
		if (!this.awaitingResponse.remove(call)) {
			return;
		}
		this.uncachedTokens -= call.uncachedTokens();
		this.lastResponseAt = now;
	}

	void endCall(EndpointCall call) {
		if (this.awaitingResponse.remove(call)) {
			this.uncachedTokens -= call.uncachedTokens();
		}
		this.outstandingCalls--;
		if (call.isSlowStart()) {
			this.requestedPause.endCall();
		}
	}

	/**
	 * Records a successful request, and ends an ejection.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordSuccess(long now) {
		this.consecutiveFailures = 0;
		this.ejectedUntil = Long.MIN_VALUE / 2;
		updateFailureRate(0, now);
	}

	/**
	 * Records a rejected or failed request. An unreachable endpoint is ejected.
	 * @param now monotonic time, in milliseconds
	 * @param unreachable whether the request could not be sent or got no response
	 */
	public void recordFailure(long now, boolean unreachable) {
		updateFailureRate(1, now);
		if (!unreachable) {
			return;
		}
		this.consecutiveFailures++;
		long ejectionMillis = INITIAL_EJECTION_MILLIS << Math.min(4, this.consecutiveFailures - 1);
		this.ejectedUntil = now + Math.min(MAXIMUM_EJECTION_MILLIS, ejectionMillis);
	}

	/**
	 * Ejects the endpoint for at least the given time, for example because another
	 * process has its address or because it has no free capacity. A success, a new
	 * process or a new address ends the ejection.
	 * @param now monotonic time, in milliseconds
	 * @param millis duration of the ejection, in milliseconds
	 */
	public void eject(long now, long millis) {
		this.ejectedUntil = Math.max(this.ejectedUntil, now + millis);
	}

	/**
	 * Records the load that the endpoint reported.
	 * @param newLoad the reported load
	 * @param now monotonic time, in milliseconds
	 * @return whether the endpoint began or ceased to state the slowdown of its machine
	 */
	public boolean recordLoad(EndpointLoad newLoad, long now) {
		this.load = newLoad;
		this.loadReportedAt = now;
		this.outstandingAtLoadReport = this.outstandingCalls;
		return (this.loadTracker != null || newLoad.slowdownPercent().isPresent()) && loadTracker().recordReport(
				newLoad.running() + newLoad.waiting(), this.outstandingCalls, newLoad.slowdownPercent().orElse(0), now);
	}

	/**
	 * Returns whether a recent report of the endpoint stated the slowdown of its machine.
	 * @param now monotonic time, in milliseconds
	 * @return whether balanced load is in use for its service
	 */
	public boolean statesSlowdown(long now) {
		return this.loadTracker != null && this.loadTracker.statesSlowdown(now);
	}

	/**
	 * Returns how long work takes at an endpoint that states the slowdown of its machine,
	 * as it stated and as observed.
	 * @param now monotonic time, in milliseconds
	 * @return the time in percent of the usual one
	 */
	public long slowdownPercent(long now) {
		return Math.round(100 * loadTracker().slowdown(now));
	}

	/**
	 * Returns what is tracked for balanced load, from now on if nothing was before.
	 * @return the tracker
	 */
	LoadTracker loadTracker() {
		if (this.loadTracker == null) {
			this.loadTracker = new LoadTracker();
		}
		return this.loadTracker;
	}

	private void updateFailureRate(double value, long now) {
		this.failureRate = failureRate(now) + FAILURE_SMOOTHING * (value - failureRate(now));
		this.failureRateUpdatedAt = now;
	}

	double failureRate(long now) {
		return this.failureRate * Math.pow(0.5, (now - this.failureRateUpdatedAt) / FAILURE_HALF_LIFE_MILLIS);
	}

	/**
	 * Returns the ratio of observed to expected response times.
	 * @param now monotonic time, in milliseconds
	 * @return the ratio, 1 for typical speed and greater for a slower endpoint
	 */
	double slowdown(long now) {
		double weight = Math.pow(0.5, (now - this.slowdownUpdatedAt) / SLOWDOWN_HALF_LIFE_MILLIS);
		return 1 + (this.slowdown - 1) * weight;
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	/**
	 * Returns whether a request has been waiting much longer than expected for its
	 * response and the endpoint has sent no other response in that time.
	 * @param now monotonic time, in milliseconds
	 * @param minimumMillis minimum wait, in milliseconds
	 * @return whether the endpoint is probably unresponsive
	 */
	boolean isUnresponsive(long now, long minimumMillis) {
		for (EndpointCall call : this.awaitingResponse) {
			double limit = Math.max(minimumMillis, 4 * call.expectedMillis());
			if (now - Math.max(call.sentMillis(), this.lastResponseAt) > limit) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Estimates the number of running and waiting requests at the endpoint. Without a
	 * recent load report, each other gateway is assumed to have as many there as this
	 * one.
	 * @param now monotonic time, in milliseconds
	 * @param gatewayCount number of gateways, including this one
	 * @return estimated number of requests
	 */
	double occupancy(long now, int gatewayCount) {
		EndpointLoad report = this.load;
		if (report == null || now - this.loadReportedAt > LOAD_VALID_MILLIS) {
			return (double) this.outstandingCalls * gatewayCount;
		}
		double others = Math.max(0, report.running() + report.waiting() - this.outstandingAtLoadReport);
		double freshness = 1 - (now - this.loadReportedAt) / (double) LOAD_VALID_MILLIS;
		return this.outstandingCalls + others * freshness;
	}

	long uncachedTokens() {
		return this.uncachedTokens;
	}

	int outstandingCalls() {
		return this.outstandingCalls;
	}

	PromptCacheEstimate promptCache() {
		return this.promptCache;
	}

}
