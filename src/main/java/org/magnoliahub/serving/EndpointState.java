package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What this gateway believes of one endpoint, from its entry in the store and from its
 * answers.
 */
public final class EndpointState {

	private static final long FIRST_PAUSE_MILLIS = 250;

	private static final long LONGEST_PAUSE_MILLIS = 4_000;

	private static final double SMOOTHING = 0.2;

	private static final double SPEED_SMOOTHING = 0.1;

	/** Time in which what was learned of failures loses half of its weight. */
	private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

	/** Time in which what was learned of the speed loses half of its weight. */
	private static final double SPEED_HALF_LIFE_MILLIS = 8_000;

	private static final double LARGEST_FACTOR = 10;

	private static final long LOAD_VALID_MILLIS = 2_000;

	private EndpointRecord record;

	private long lapsesAt = Long.MAX_VALUE;

	private boolean leaving;

	private final RequestedPause requestedPause = new RequestedPause();

	private final List<EndpointCall> unanswered = new ArrayList<>();

	private int outstanding;

	private long lastAnswerMillis = Long.MIN_VALUE / 2;

	private int failuresInRow;

	private long pausedUntil = Long.MIN_VALUE / 2;

	private double failureShare;

	private long failureUpdated;

	private double speedFactor = 1;

	private long speedUpdated;

	private long uncachedTokens;

	private @Nullable EndpointLoad load;

	private long loadMillis = Long.MIN_VALUE / 2;

	private int outstandingAtLoad;

	private final PromptCacheEstimate promptCache = new PromptCacheEstimate();

	EndpointState(EndpointRecord record) {
		this.record = record;
		this.leaving = record.draining();
	}

	/**
	 * Returns the entry of the endpoint.
	 * @return the newest entry
	 */
	public EndpointRecord record() {
		return this.record;
	}

	void update(EndpointRecord newer) {
		boolean restarted = !newer.isSameProcess(this.record) || !newer.address().equals(this.record.address());
		if (!newer.isSameProcess(this.record)) {
			this.leaving = false;
			this.requestedPause.clear();
		}
		this.record = newer;
		this.leaving |= newer.draining();
		this.lapsesAt = Long.MAX_VALUE;
		if (restarted) {
			this.promptCache.clear();
			this.failuresInRow = 0;
			this.pausedUntil = Long.MIN_VALUE / 2;
			this.speedFactor = 1;
		}
	}

	/**
	 * Notes that the endpoint leaves. Only a new process under its id takes work again.
	 * @return whether that was not known
	 */
	public boolean markDraining() {
		boolean news = !this.leaving;
		this.leaving = true;
		return news;
	}

	/**
	 * Returns whether the endpoint leaves.
	 * @return whether it gets no new work
	 */
	public boolean isDraining() {
		return this.leaving;
	}

	/**
	 * Notes that the endpoint wants nothing for a while.
	 * @param now monotonic time, in milliseconds
	 * @param millis length of the pause, in milliseconds
	 */
	public void requestPause(long now, long millis) {
		this.requestedPause.request(now, millis);
	}

	/**
	 * Returns whether the endpoint asked for a pause that is not over.
	 * @param now monotonic time, in milliseconds
	 * @return whether nothing may be sent
	 */
	public boolean isPauseRequested(long now) {
		return this.requestedPause.isActive(now);
	}

	/**
	 * Returns when the pause ends that the endpoint asked for.
	 * @return monotonic time in milliseconds, in the past if there is no pause
	 */
	public long requestedPauseEnd() {
		return this.requestedPause.until();
	}

	/**
	 * Returns whether new work may be sent.
	 * @param now monotonic time, in milliseconds
	 * @return whether the endpoint neither leaves nor is gone nor asked for a pause
	 */
	public boolean isAvailable(long now) {
		return !this.leaving && !isExpired(now) && this.requestedPause.mayBegin(now);
	}

	void startGracePeriod(long until) {
		this.lapsesAt = until;
	}

	boolean isInGracePeriod() {
		return this.lapsesAt != Long.MAX_VALUE;
	}

	boolean isExpired(long now) {
		return now >= this.lapsesAt;
	}

	/**
	 * Notes that a request was sent.
	 * @param now monotonic time, in milliseconds
	 * @param expectedMillis expected time to its first answer
	 * @param tokens prompt tokens that the endpoint has to read for it
	 * @return the call, to be passed to the other methods
	 */
	public EndpointCall beginCall(long now, double expectedMillis, int tokens) {
		EndpointCall call = new EndpointCall(this, now, expectedMillis, tokens, this.requestedPause.begun());
		this.unanswered.add(call);
		this.outstanding++;
		this.uncachedTokens += tokens;
		return call;
	}

	void answered(EndpointCall call, long now) {
		if (!this.unanswered.remove(call)) {
			return;
		}
		this.uncachedTokens -= call.tokens();
		this.lastAnswerMillis = now;
		if (call.isSlowStart()) {
			this.requestedPause.answered();
		}
		double ratio = Math.max(0.05, now - call.sentMillis()) / Math.max(1, call.expectedMillis());
		double bounded = Math.min(LARGEST_FACTOR, Math.max(1 / LARGEST_FACTOR, ratio));
		// A geometric mean, so that a few long requests do not make an endpoint look
		// slow.
		double factor = speedFactor(now);
		this.speedFactor = factor * Math.pow(bounded / factor, SPEED_SMOOTHING);
		this.speedUpdated = now;
	}

	void refused(EndpointCall call, long now) {
		if (!this.unanswered.remove(call)) {
			return;
		}
		this.uncachedTokens -= call.tokens();
		this.lastAnswerMillis = now;
	}

	void ended(EndpointCall call) {
		if (this.unanswered.remove(call)) {
			this.uncachedTokens -= call.tokens();
		}
		this.outstanding--;
		if (call.isSlowStart()) {
			this.requestedPause.ended();
		}
	}

	/**
	 * Notes a request that ended well.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordSuccess(long now) {
		this.failuresInRow = 0;
		this.pausedUntil = Long.MIN_VALUE / 2;
		recordFailureShare(0, now);
	}

	/**
	 * Notes a request that the endpoint refused or failed.
	 * @param now monotonic time, in milliseconds
	 * @param unreachable whether nothing could be sent, or no answer came
	 */
	public void recordFailure(long now, boolean unreachable) {
		recordFailureShare(1, now);
		if (!unreachable) {
			return;
		}
		this.failuresInRow++;
		long pause = FIRST_PAUSE_MILLIS << Math.min(4, this.failuresInRow - 1);
		this.pausedUntil = now + Math.min(LONGEST_PAUSE_MILLIS, pause);
	}

	/**
	 * Notes that the endpoint is another one than its entry says, or that it leaves.
	 * @param now monotonic time, in milliseconds
	 * @param pauseMillis how long it gets no work unless its entry changes
	 */
	public void eject(long now, long pauseMillis) {
		this.pausedUntil = Math.max(this.pausedUntil, now + pauseMillis);
	}

	/**
	 * Notes the load that the endpoint stated.
	 * @param newer the load
	 * @param now monotonic time, in milliseconds
	 */
	public void recordLoad(EndpointLoad newer, long now) {
		this.load = newer;
		this.loadMillis = now;
		this.outstandingAtLoad = this.outstanding;
	}

	private void recordFailureShare(double value, long now) {
		this.failureShare = failureShare(now) + SMOOTHING * (value - failureShare(now));
		this.failureUpdated = now;
	}

	double failureShare(long now) {
		return this.failureShare * Math.pow(0.5, (now - this.failureUpdated) / FAILURE_HALF_LIFE_MILLIS);
	}

	/**
	 * Returns how slow the endpoint is relative to expectation.
	 * @param now monotonic time, in milliseconds
	 * @return factor on expected times, 1 for the usual speed
	 */
	double speedFactor(long now) {
		double weight = Math.pow(0.5, (now - this.speedUpdated) / SPEED_HALF_LIFE_MILLIS);
		return 1 + (this.speedFactor - 1) * weight;
	}

	boolean isEjected(long now) {
		return now < this.pausedUntil;
	}

	/**
	 * Returns whether requests wait for an answer much longer than expected while no
	 * other answer comes.
	 * @param now monotonic time, in milliseconds
	 * @param floorMillis shortest wait that counts
	 * @return whether the endpoint seems to be silent
	 */
	boolean isUnresponsive(long now, long floorMillis) {
		for (EndpointCall call : this.unanswered) {
			double limit = Math.max(floorMillis, 4 * call.expectedMillis());
			if (now - Math.max(call.sentMillis(), this.lastAnswerMillis) > limit) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns requests that the endpoint has. Without a fresh load of its own, other
	 * gateways are taken to have as many there as this one.
	 * @param now monotonic time, in milliseconds
	 * @param gateways number of gateways, this one included
	 * @return estimated number of requests
	 */
	double occupancy(long now, int gateways) {
		EndpointLoad known = this.load;
		if (known == null || now - this.loadMillis > LOAD_VALID_MILLIS) {
			return (double) this.outstanding * gateways;
		}
		double others = Math.max(0, known.running() + known.waiting() - this.outstandingAtLoad);
		double fading = 1 - (now - this.loadMillis) / (double) LOAD_VALID_MILLIS;
		return this.outstanding + others * fading;
	}

	long uncachedTokens() {
		return this.uncachedTokens;
	}

	int outstanding() {
		return this.outstanding;
	}

	PromptCacheEstimate promptCache() {
		return this.promptCache;
	}

}
