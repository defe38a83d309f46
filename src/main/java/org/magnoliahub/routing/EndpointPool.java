package org.magnoliahub.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Objective;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.TimerService;

/**
 * The endpoints of one pool that a gateway uses, with the queue of requests that wait for
 * them and the work of admitted requests that has not been sent yet.
 */
final class EndpointPool {

	/** Additional round-trip time to an endpoint in another zone. */
	private static final double CROSS_ZONE_MILLIS = 2;

	/** Interval of dispatch while requests wait, even if no attempt ends. */
	private static final Duration DISPATCH_RETRY_INTERVAL = Duration.ofMillis(10);

	/**
	 * Minimum probability of finishing in time. A request below it at each sampled
	 * endpoint is refused.
	 */
	private static final double MINIMUM_PROBABILITY = 0.3;

	/**
	 * A request under the cost objective waits for an endpoint without capacity only if
	 * the work costs less than this multiple of the lowest cost available now.
	 */
	private static final double MAXIMUM_COST_RATIO = 0.9;

	private static final double CAPACITY_REFRESH_MILLIS = 20;

	/** Time constant of the smoothing of the capacity estimate. */
	private static final double CAPACITY_SMOOTHING_MILLIS = 300;

	/**
	 * The throughput ratio is measured over this multiple of the mean execution time,
	 * within the bounds below. A shorter window mistakes the noise of a few long
	 * executions for lost capacity.
	 */
	private static final double THROUGHPUT_WINDOW_MULTIPLE = 8;

	private static final double MINIMUM_THROUGHPUT_WINDOW_MILLIS = 1_000;

	private static final double MAXIMUM_THROUGHPUT_WINDOW_MILLIS = 15_000;

	/**
	 * Share of its distance to 1 by which the throughput ratio recovers with each refresh
	 * while the pool is not saturated.
	 */
	private static final double THROUGHPUT_RECOVERY_SHARE = 0.005;

	/** Minimum tolerance of admission, so that an idle pool admits urgent work. */
	private static final double MINIMUM_TOLERANCE_MILLIS = 20;

	/**
	 * Increase of the tolerance per request that is sent by its latest start while the
	 * pool is not saturated.
	 */
	private static final double TOLERANCE_INCREASE_MILLIS = 1;

	/**
	 * Factor applied to the tolerance per request that is sent after its latest start or
	 * refused while it waits.
	 */
	private static final double TOLERANCE_DECREASE_FACTOR = 0.95;

	private static final double MINIMUM_THROUGHPUT_RATIO = 0.3;

	private static final double MAXIMUM_THROUGHPUT_RATIO = 1.25;

	private final String name;

	private final SchedulerParameters parameters;

	private final TimerService timers;

	private final RandomGenerator random;

	private final WaitQueue queue = new WaitQueue();

	private final CommittedWork committed = new CommittedWork(250);

	private List<EndpointStatistics> endpoints = List.of();

	private int[] sampleOrder = new int[0];

	private boolean retryScheduled;

	private boolean dispatching;

	/** Whether a request waits because no endpoint has capacity for it. */
	private boolean saturated;

	/** Estimated capacity, in milliseconds of work at slowdown 1 per millisecond. */
	private double capacity;

	private double typicalSlowdown = 1;

	/**
	 * Mean slowdown of the endpoints, by which the slowdown of each is divided when
	 * execution times are normalised. Without this correction, slowdowns and normalised
	 * times drift in opposite directions.
	 */
	private double meanSlowdown = 1;

	/** Demand of all workspaces up to their shares, in the unit of the capacity. */
	private double reservedCapacity;

	/** Total weight of the workspaces that are not idle, at least 1. */
	private double activeWeight = 1;

	private double refreshedAtMillis = Double.NEGATIVE_INFINITY;

	/** Mean execution time with a cached prompt prefix, relative to the expectation. */
	private double cachedPrefixRatio = 1;

	/** Work sent while the pool was saturated, relative to the estimated capacity. */
	private double throughputRatio = 1;

	/**
	 * Tolerance of admission: time that it adds to the time until each latest start. It
	 * starts at the maximum, because a new gateway would otherwise refuse requests by
	 * estimates that are not based on observations yet.
	 */
	private double toleranceMillis;

	/** Decaying sum of the work sent while the pool is saturated. */
	private double sentWork;

	/** Decaying sum of the work that the estimated capacity allows meanwhile. */
	private double expectedWork;

	private double throughputUpdatedAtMillis = Double.NaN;

	private double meanExecutionMillis;

	EndpointPool(String name, SchedulerParameters parameters, TimerService timers, RandomGenerator random) {
		this.name = name;
		this.parameters = parameters;
		this.toleranceMillis = parameters.longestGraceMillis();
		this.timers = timers;
		this.random = random;
	}

	/**
	 * Replaces the endpoints and keeps the statistics of those that stay.
	 * @param chosen the endpoints
	 * @param zone name of the gateway's availability zone
	 */
	void update(List<Endpoint> chosen, String zone) {
		Map<Endpoint, EndpointStatistics> known = new HashMap<>();
		this.endpoints.forEach((statistics) -> known.put(statistics.endpoint(), statistics));
		this.endpoints = chosen.stream().map((endpoint) -> {
			EndpointStatistics statistics = known.get(endpoint);
			return (statistics != null) ? statistics : new EndpointStatistics(endpoint,
					endpoint.availabilityZone().name().equals(zone), this.parameters.backlogFromWaits());
		}).toList();
		this.sampleOrder = new int[this.endpoints.size()];
		for (int i = 0; i < this.sampleOrder.length; i++) {
			this.sampleOrder[i] = i;
		}
		this.refreshedAtMillis = Double.NEGATIVE_INFINITY;
	}

	List<EndpointStatistics> endpoints() {
		return this.endpoints;
	}

	/**
	 * Records whether an endpoint accepts new work. When no usable endpoint is left,
	 * waiting requests fail with {@link RefusalReason#NO_ENDPOINT}, so that the gateway
	 * decides how long each of them keeps waiting.
	 * @param endpoint name of the endpoint
	 * @param usable whether it accepts new work
	 */
	void setUsable(String endpoint, boolean usable) {
		for (EndpointStatistics statistics : this.endpoints) {
			if (statistics.endpoint().name().equals(endpoint)) {
				statistics.setUsable(usable);
				this.refreshedAtMillis = Double.NEGATIVE_INFINITY;
			}
		}
		if (usable) {
			dispatch();
			return;
		}
		while (!hasUsableEndpoint() && this.queue.size() > 0) {
			WaitingRequest waiting = this.queue.nextRequests(1, false, 0).get(0);
			this.queue.remove(waiting, this.queue.shareOf(waiting.request().workspace(), nowMillis()));
			waiting.emitter().onError(noEndpointException());
		}
	}

	boolean hasUsableEndpoint() {
		return this.endpoints.stream().anyMatch(EndpointStatistics::isUsable);
	}

	AssignmentException noEndpointException() {
		return new AssignmentException(RefusalReason.NO_ENDPOINT, "no endpoint of pool " + this.name + " is usable",
				Duration.ofSeconds(1));
	}

	/**
	 * Applies a load report that arrived separately from a result.
	 * @param endpoint name of the endpoint
	 * @param load the report
	 */
	void loadReported(String endpoint, Message.LoadReport load) {
		for (EndpointStatistics statistics : this.endpoints) {
			if (statistics.endpoint().name().equals(endpoint)) {
				statistics.loadReported(nowMillis(), load);
				dispatch();
			}
		}
	}

	WaitQueue queue() {
		return this.queue;
	}

	/**
	 * Returns the mean slowdown of the slots that this gateway can use.
	 * @param now time in milliseconds
	 * @return the slowdown, 1 if there is no such slot
	 */
	double typicalSlowdown(double now) {
		refreshEstimates(now);
		return this.typicalSlowdown;
	}

	double minimumSlowdown(double now) {
		double minimum = Double.POSITIVE_INFINITY;
		for (EndpointStatistics statistics : this.endpoints) {
			if (!statistics.isUnavailable(now)) {
				minimum = Math.min(minimum, statistics.slowdown(now, this.parameters.censored()));
			}
		}
		return minimum;
	}

	/**
	 * Returns how far admitting additional work would overload the pool or exceed the
	 * share of its workspace.
	 * @param workspace the workspace
	 * @param workMillis the additional work, in milliseconds at slowdown 1
	 * @param now time in milliseconds
	 * @param latestStart latest time at which the work should start
	 * @return milliseconds after which the work would fit, 0 if it fits now
	 */
	double excessMillis(Workspace workspace, double workMillis, double now, double latestStart) {
		refreshEstimates(now);
		double usableCapacity = this.capacity * this.throughputRatio * this.parameters.capacityShare();
		if (usableCapacity <= 0) {
			return 1_000;
		}
		double poolExcess = this.committed.excess(now, latestStart, workMillis, usableCapacity, this.toleranceMillis)
				/ usableCapacity;
		if (!this.parameters.fairShares()) {
			return poolExcess;
		}
		WorkspaceShare share = this.queue.shareOf(workspace, now);
		double tolerance = this.parameters.shareTolerance();
		double sharedCapacity = (tolerance > 0) ? tolerance * this.capacity * this.throughputRatio : usableCapacity;
		double guaranteedCapacity = sharedCapacity * share.weight() / Math.max(this.activeWeight, share.weight());
		double workspaceDemand = share.demand(now);
		double availableCapacity = Math.max(guaranteedCapacity,
				usableCapacity - this.reservedCapacity + Math.min(workspaceDemand, guaranteedCapacity));
		double shareExcess = share.committed()
			.excess(now, latestStart, workMillis, availableCapacity, this.toleranceMillis) / availableCapacity;
		return (workspaceDemand <= guaranteedCapacity) ? shareExcess : Math.max(poolExcess, shareExcess);
	}

	void commit(Workspace workspace, double workMillis, double latestStart) {
		this.committed.add(latestStart, workMillis);
		this.queue.shareOf(workspace, nowMillis()).committed().add(latestStart, workMillis);
	}

	void uncommit(Workspace workspace, double workMillis, double latestStart) {
		this.committed.add(latestStart, -workMillis);
		this.queue.shareOf(workspace, nowMillis()).committed().add(latestStart, -workMillis);
	}

	void enqueue(WaitingRequest request) {
		WorkspaceShare share = this.queue.shareOf(request.request().workspace(), nowMillis());
		this.queue.add(request, share);
		request.emitter().setCancellable(() -> this.queue.remove(request, share));
		dispatch();
	}

	/**
	 * Sends waiting requests to endpoints that have capacity.
	 */
	void dispatch() {
		if (this.dispatching) {
			return;
		}
		this.dispatching = true;
		try {
			while (dispatchNext()) {
				continue;
			}
		}
		finally {
			this.dispatching = false;
		}
		if (this.queue.size() > 0 && !this.retryScheduled) {
			this.retryScheduled = true;
			this.timers.after(DISPATCH_RETRY_INTERVAL).subscribe(() -> {
				this.retryScheduled = false;
				dispatch();
			});
		}
	}

	private boolean dispatchNext() {
		if (this.queue.size() == 0) {
			this.saturated = false;
			return false;
		}
		double now = nowMillis();
		int waitingAhead = 0;
		this.saturated = false;
		List<WaitingRequest> candidates = this.queue.nextRequests(this.parameters.lookahead(),
				this.parameters.fairShares(), meanWorkMillis());
		for (WaitingRequest request : candidates) {
			Selection selection = select(request, now, waitingAhead);
			if (selection.endpoint != null) {
				send(request, selection.endpoint, now);
				return true;
			}
			if (!selection.waitsForCost) {
				this.saturated = true;
			}
			if (selection.cannotFinish) {
				adaptTolerance(true);
				refuse(request);
				return true;
			}
			waitingAhead++;
		}
		return false;
	}

	private double meanWorkMillis() {
		WaitingRequest any = this.queue.nextRequests(1, false, 0).get(0);
		return any.statistics().meanMillis();
	}

	private Selection select(WaitingRequest request, double now, int waitingAhead) {
		drawSample();
		int sample = Math.min(this.parameters.sampleSize(), this.sampleOrder.length);
		StageStatistics stage = request.statistics();
		double budgetMillis = request.deadlineMillis() - request.laterStagesMillis() - now;
		boolean byCost = request.request().requestClass().objective() == Objective.COST;
		EndpointStatistics best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		double bestCompletionMillis = Double.POSITIVE_INFINITY;
		double bestProbability = 0;
		double highestProbability = 0;
		double lowestScoreWithoutCapacity = Double.POSITIVE_INFINITY;
		boolean anyAvailable = false;
		for (int i = 0; i < sample; i++) {
			EndpointStatistics candidate = this.endpoints.get(this.sampleOrder[i]);
			if (candidate.isUnavailable(now)
					|| request.request().excludedEndpoints().contains(candidate.endpoint().name())) {
				continue;
			}
			anyAvailable = true;
			double slowdown = candidate.slowdown(now, this.parameters.censored());
			double prefixRatio = candidate.hasPrefixCached(request.request().prefixHash()) ? this.cachedPrefixRatio : 1;
			double executionMillis = stage.meanMillis() * slowdown * prefixRatio;
			double zoneMillis = candidate.sameZone() ? 0 : CROSS_ZONE_MILLIS;
			boolean hasCapacity = candidate.hasCapacity(now, this.parameters);
			double waitMillis = hasCapacity ? candidate.waitMillis(now, executionMillis) : 0;
			double probability = stage
				.probabilityWithin((budgetMillis - waitMillis - zoneMillis) / (slowdown * prefixRatio));
			highestProbability = Math.max(highestProbability, probability);
			double completionMillis = waitMillis + zoneMillis + executionMillis;
			double score = byCost ? candidate.endpoint().priceFactor() * slowdown * prefixRatio : completionMillis;
			boolean inTime = probability >= this.parameters.finishProbability();
			if (!hasCapacity) {
				lowestScoreWithoutCapacity = inTime ? Math.min(lowestScoreWithoutCapacity, score)
						: lowestScoreWithoutCapacity;
				continue;
			}
			boolean bestInTime = bestProbability >= this.parameters.finishProbability();
			if (best == null || (inTime && !bestInTime) || (inTime == bestInTime && score < bestScore)) {
				best = candidate;
				bestScore = score;
				bestCompletionMillis = completionMillis;
				bestProbability = probability;
			}
		}
		if (anyAvailable && highestProbability < MINIMUM_PROBABILITY) {
			return Selection.CANNOT_FINISH;
		}
		if (best == null) {
			return Selection.HOLD;
		}
		if (bestProbability < this.parameters.finishProbability() && bestProbability < highestProbability - 0.02) {
			return Selection.HOLD;
		}
		double slackMillis = request.latestStartMillis() - now;
		if (byCost && lowestScoreWithoutCapacity < MAXIMUM_COST_RATIO * bestScore
				&& slackMillis > this.parameters.costSlack() * request.request().requestClass().deadline().toMillis()) {
			return Selection.HOLD_FOR_COST;
		}
		if (this.parameters.holding() && !byCost && heldCompletionMillis(request, now, sample, waitingAhead,
				bestCompletionMillis) < bestCompletionMillis) {
			return Selection.HOLD;
		}
		return new Selection(best, false, false);
	}

	// Returns the expected milliseconds until a request completes if it waits for one of
	// the sampled endpoints that are faster but have no capacity now.
	private double heldCompletionMillis(WaitingRequest request, double now, int sample, int waitingAhead,
			double completionMillis) {
		double releasesPerMilli = 0;
		double occupiedSlots = 0;
		for (int i = 0; i < sample; i++) {
			EndpointStatistics candidate = this.endpoints.get(this.sampleOrder[i]);
			if (candidate.hasCapacity(now, this.parameters) || candidate.isUnavailable(now)
					|| candidate.outstanding() == 0) {
				continue;
			}
			double executionMillis = request.statistics().meanMillis()
					* candidate.slowdown(now, this.parameters.censored());
			if (executionMillis <= 0 || executionMillis >= completionMillis) {
				continue;
			}
			double releases = Math.min(candidate.outstanding(), candidate.slots()) / executionMillis;
			releasesPerMilli += releases;
			occupiedSlots += releases * executionMillis;
		}
		return (releasesPerMilli == 0) ? Double.POSITIVE_INFINITY
				: (waitingAhead + 1 + occupiedSlots) / releasesPerMilli;
	}

	private void drawSample() {
		int sample = Math.min(this.parameters.sampleSize(), this.sampleOrder.length);
		for (int i = 0; i < sample; i++) {
			int j = i + this.random.nextInt(this.sampleOrder.length - i);
			int swapped = this.sampleOrder[i];
			this.sampleOrder[i] = this.sampleOrder[j];
			this.sampleOrder[j] = swapped;
		}
	}

	private void send(WaitingRequest request, EndpointStatistics endpoint, double now) {
		WorkspaceShare share = this.queue.shareOf(request.request().workspace(), now);
		this.queue.remove(request, share);
		request.onSent().run();
		double meanMillis = request.statistics().meanMillis();
		share.addServed(meanMillis);
		this.sentWork += meanMillis;
		adaptTolerance(now > request.latestStartMillis());
		boolean prefixCached = endpoint.hasPrefixCached(request.request().prefixHash());
		double waitMillis = endpoint.waitMillis(now, meanMillis * endpoint.slowdown(now, this.parameters.censored()));
		EndpointStatistics.Attempt attempt = endpoint.start(now, meanMillis, waitMillis,
				request.request().prefixHash());
		request.emitter().onSuccess(new PoolAssignment(endpoint, attempt, request.statistics(), prefixCached));
	}

	private void refuse(WaitingRequest request) {
		this.queue.remove(request, this.queue.shareOf(request.request().workspace(), nowMillis()));
		request.emitter()
			.onError(new AssignmentException(RefusalReason.DEADLINE_EXCEEDED,
					"stage " + request.request().stage().name() + " can no longer finish in time",
					Duration.ofSeconds(1)));
	}

	private void refreshEstimates(double now) {
		if (now - this.refreshedAtMillis < CAPACITY_REFRESH_MILLIS) {
			return;
		}
		double slots = 0;
		double parallelism = 0;
		double slowdowns = 0;
		for (EndpointStatistics statistics : this.endpoints) {
			slowdowns += statistics.observedSlowdown(now);
			if (statistics.isUnavailable(now)) {
				continue;
			}
			double availableSlots = Math.max(Math.min(statistics.outstanding(), statistics.slots()),
					statistics.slots() - statistics.estimatedLoadOfOthers(now));
			slots += availableSlots;
			parallelism += availableSlots / statistics.slowdown(now, this.parameters.censored());
		}
		this.meanSlowdown = this.endpoints.isEmpty() ? 1 : slowdowns / this.endpoints.size();
		double elapsedMillis = now - this.refreshedAtMillis;
		double retained = this.parameters.backlogFromWaits() ? Math.exp(-elapsedMillis / CAPACITY_SMOOTHING_MILLIS) : 0;
		this.capacity = parallelism + retained * (this.capacity - parallelism);
		this.refreshedAtMillis = now;
		this.typicalSlowdown = (parallelism > 0) ? slots / parallelism : 1;
		if (this.parameters.measuredCapacity()) {
			updateThroughputRatio(now);
		}
		double totalWeight = 0;
		for (WorkspaceShare share : this.queue.shares()) {
			if (!share.isIdle(now)) {
				totalWeight += share.weight();
			}
		}
		double reserved = 0;
		for (WorkspaceShare share : this.queue.shares()) {
			reserved += Math.min(share.demand(now), parallelism * share.weight() / Math.max(1, totalWeight));
		}
		this.activeWeight = Math.max(1, totalWeight);
		this.reservedCapacity = reserved;
	}

	private void adaptTolerance(boolean late) {
		if (late) {
			this.toleranceMillis = Math.max(MINIMUM_TOLERANCE_MILLIS, this.toleranceMillis * TOLERANCE_DECREASE_FACTOR);
		}
		else if (!this.saturated) {
			this.toleranceMillis = Math.min(this.parameters.longestGraceMillis(),
					this.toleranceMillis + TOLERANCE_INCREASE_MILLIS);
		}
	}

	private void updateThroughputRatio(double now) {
		if (!this.saturated || Double.isNaN(this.throughputUpdatedAtMillis)) {
			this.throughputRatio += THROUGHPUT_RECOVERY_SHARE * (1 - this.throughputRatio);
			this.throughputUpdatedAtMillis = this.saturated ? now : Double.NaN;
			this.sentWork = 0;
			this.expectedWork = 0;
			return;
		}
		double elapsedMillis = now - this.throughputUpdatedAtMillis;
		this.expectedWork += this.capacity * elapsedMillis;
		this.throughputUpdatedAtMillis = now;
		double windowMillis = Math.max(MINIMUM_THROUGHPUT_WINDOW_MILLIS,
				Math.min(MAXIMUM_THROUGHPUT_WINDOW_MILLIS, THROUGHPUT_WINDOW_MULTIPLE * this.meanExecutionMillis));
		double retained = Math.exp(-elapsedMillis / windowMillis);
		this.sentWork *= retained;
		this.expectedWork *= retained;
		if (this.expectedWork > 0) {
			double measured = Math.max(MINIMUM_THROUGHPUT_RATIO,
					Math.min(MAXIMUM_THROUGHPUT_RATIO, this.sentWork / this.expectedWork));
			this.throughputRatio += (1 - retained) * (measured - this.throughputRatio);
		}
	}

	private double nowMillis() {
		return this.timers.nanoTime() / 1e6;
	}

	private record Selection(@Nullable EndpointStatistics endpoint, boolean cannotFinish, boolean waitsForCost) {

		private static final Selection HOLD = new Selection(null, false, false);

		private static final Selection HOLD_FOR_COST = new Selection(null, false, true);

		private static final Selection CANNOT_FINISH = new Selection(null, true, false);

	}

	private final class PoolAssignment implements Assignment {

		private final EndpointStatistics statistics;

		private final EndpointStatistics.Attempt attempt;

		private final StageStatistics stage;

		private final boolean prefixCached;

		private boolean ended;

		private PoolAssignment(EndpointStatistics statistics, EndpointStatistics.Attempt attempt, StageStatistics stage,
				boolean prefixCached) {
			this.statistics = statistics;
			this.attempt = attempt;
			this.stage = stage;
			this.prefixCached = prefixCached;
		}

		@Override
		public Endpoint endpoint() {
			return this.statistics.endpoint();
		}

		@Override
		public void completed(StageOutput output, Message.LoadReport load) {
			if (!end()) {
				return;
			}
			double now = nowMillis();
			double slowdown = this.statistics.observedSlowdown(now) / EndpointPool.this.meanSlowdown;
			double expectedMillis = this.stage.expectedMillis(output.units());
			EndpointPool.this.meanExecutionMillis += 0.02
					* (output.endpointMillis() - EndpointPool.this.meanExecutionMillis);
			this.statistics.completed(now, this.attempt, output.endpointMillis(), expectedMillis);
			this.stage.add(now, output.endpointMillis() / slowdown, output.units());
			if (this.prefixCached && expectedMillis > 0) {
				double ratio = output.endpointMillis() / (expectedMillis * slowdown);
				EndpointPool.this.cachedPrefixRatio += 0.02
						* (Math.min(1, ratio) - EndpointPool.this.cachedPrefixRatio);
			}
			this.statistics.loadReported(now, load);
			dispatch();
		}

		@Override
		public void failed() {
			if (end()) {
				this.statistics.failed(nowMillis(), EndpointPool.this.random);
				dispatch();
			}
		}

		@Override
		public void released() {
			if (end()) {
				dispatch();
			}
		}

		private boolean end() {
			if (this.ended) {
				return false;
			}
			this.ended = true;
			this.statistics.end(this.attempt);
			return true;
		}

	}

}
