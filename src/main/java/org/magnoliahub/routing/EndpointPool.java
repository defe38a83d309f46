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
 * The endpoints of one pool that a gateway uses, the requests that wait for them and the
 * work that was admitted for them.
 */
final class EndpointPool {

	/** Round trip to an endpoint in another zone, beyond one in the same zone. */
	private static final double CROSS_ZONE_MILLIS = 2;

	/** Waiting requests are tried again after this time even if no attempt ends. */
	private static final Duration RETRY_INTERVAL = Duration.ofMillis(10);

	/** Requests with less chance to end in time are not sent. */
	private static final double LOWEST_PROBABILITY = 0.3;

	/** A request waits only for endpoints whose cost is below this multiple. */
	private static final double COST_ADVANTAGE = 0.9;

	private static final double CAPACITY_REFRESH_MILLIS = 20;

	/** Time constant by which the capacity estimate is smoothed. */
	private static final double CAPACITY_MILLIS = 300;

	/**
	 * The yield is measured over this multiple of the execution time, within the bounds
	 * below. A shorter window takes the noise of few long executions for lost capacity.
	 */
	private static final double YIELD_MULTIPLE = 8;

	private static final double SHORTEST_YIELD_MILLIS = 1_000;

	private static final double LONGEST_YIELD_MILLIS = 15_000;

	/** Share of the way back to 1 per refresh without waiting requests. */
	private static final double YIELD_RECOVERY = 0.005;

	/** Tolerance of admission, so that an idle pool admits urgent work. */
	private static final double SHORTEST_GRACE_MILLIS = 20;

	/** Change of the tolerance per request that was sent without delay. */
	private static final double GRACE_INCREASE_MILLIS = 1;

	/** Change of the tolerance per request that was sent after its latest start. */
	private static final double GRACE_DECREASE = 0.95;

	private static final double LOWEST_YIELD = 0.3;

	private static final double HIGHEST_YIELD = 1.25;

	private final String name;

	private final SchedulerParameters parameters;

	private final TimerService timers;

	private final RandomGenerator random;

	private final WaitQueue queue = new WaitQueue();

	private final CommittedWork committed = new CommittedWork(250);

	private List<EndpointStatistics> endpoints = List.of();

	private int[] order = new int[0];

	private boolean retryScheduled;

	private boolean draining;

	/** Whether a request waits because no endpoint has room for it. */
	private boolean pressed;

	private double capacity;

	private double typicalFactor = 1;

	/**
	 * Mean of the factors, by which normalised times are corrected. Without it factors
	 * and normalised times drift in opposite directions.
	 */
	private double meanFactor = 1;

	private double reservedShares;

	private double activeWeights = 1;

	private double refreshedAtMillis = Double.NEGATIVE_INFINITY;

	private double warmRatio = 1;

	/** Work sent while requests waited, relative to the estimated capacity. */
	private double yield = 1;

	/**
	 * By how much admission overestimates the time until a latest start. Starts at its
	 * longest, since a new gateway would otherwise refuse by estimates it has yet to
	 * learn.
	 */
	private double graceMillis;

	private double sentWork;

	private double expectedWork;

	private double waitedSinceMillis = Double.NaN;

	private double meanExecutionMillis;

	EndpointPool(String name, SchedulerParameters parameters, TimerService timers, RandomGenerator random) {
		this.name = name;
		this.parameters = parameters;
		this.graceMillis = parameters.longestGraceMillis();
		this.timers = timers;
		this.random = random;
	}

	/**
	 * Takes over a new list of endpoints and keeps what is known of those that stay.
	 * @param chosen the endpoints
	 * @param zone name of the gateway's zone
	 */
	void update(List<Endpoint> chosen, String zone) {
		Map<Endpoint, EndpointStatistics> known = new HashMap<>();
		this.endpoints.forEach((statistics) -> known.put(statistics.endpoint(), statistics));
		this.endpoints = chosen.stream().map((endpoint) -> {
			EndpointStatistics statistics = known.get(endpoint);
			return (statistics != null) ? statistics : new EndpointStatistics(endpoint,
					endpoint.availabilityZone().name().equals(zone), this.parameters.backlogFromWaits());
		}).toList();
		this.order = new int[this.endpoints.size()];
		for (int i = 0; i < this.order.length; i++) {
			this.order[i] = i;
		}
		this.refreshedAtMillis = Double.NEGATIVE_INFINITY;
	}

	List<EndpointStatistics> endpoints() {
		return this.endpoints;
	}

	/**
	 * Records whether an endpoint takes new work. When none is left, waiting requests are
	 * given back, so that their gateway decides how long to wait.
	 * @param endpoint name of the endpoint
	 * @param usable whether it takes new work
	 */
	void setUsable(String endpoint, boolean usable) {
		for (EndpointStatistics statistics : this.endpoints) {
			if (statistics.endpoint().name().equals(endpoint)) {
				statistics.setUsable(usable);
				this.refreshedAtMillis = Double.NEGATIVE_INFINITY;
			}
		}
		if (usable) {
			drain();
			return;
		}
		while (!hasUsableEndpoint() && this.queue.size() > 0) {
			WaitingRequest waiting = this.queue.next(1, false, 0).get(0);
			this.queue.remove(waiting, this.queue.shareOf(waiting.request().workspace(), millis()));
			waiting.emitter().onError(noEndpoint());
		}
	}

	boolean hasUsableEndpoint() {
		return this.endpoints.stream().anyMatch(EndpointStatistics::isUsable);
	}

	AssignmentException noEndpoint() {
		return new AssignmentException(RefusalReason.NO_ENDPOINT, "no endpoint of pool " + this.name + " is usable",
				Duration.ofSeconds(1));
	}

	/**
	 * Takes a load report that came apart from a result.
	 * @param endpoint name of the endpoint
	 * @param load the report
	 */
	void loadReported(String endpoint, Message.LoadReport load) {
		for (EndpointStatistics statistics : this.endpoints) {
			if (statistics.endpoint().name().equals(endpoint)) {
				statistics.reported(millis(), load);
				drain();
			}
		}
	}

	WaitQueue queue() {
		return this.queue;
	}

	/**
	 * Returns how much slower than factor 1 the pool's capacity is on average.
	 * @param now time in milliseconds
	 * @return the factor, 1 if nothing is known
	 */
	double typicalFactor(double now) {
		refresh(now);
		return this.typicalFactor;
	}

	double lowestFactor(double now) {
		double lowest = Double.POSITIVE_INFINITY;
		for (EndpointStatistics statistics : this.endpoints) {
			if (!statistics.isPaused(now)) {
				lowest = Math.min(lowest, statistics.factor(now, this.parameters.censored()));
			}
		}
		return lowest;
	}

	/**
	 * Returns whether further work fits beside the admitted work.
	 * @param workspace the workspace
	 * @param cost the work, in milliseconds at speed factor 1
	 * @param now time in milliseconds
	 * @param latestStart latest time at which the work should start
	 * @return milliseconds after which it would fit, 0 if it fits now
	 */
	double excessMillis(Workspace workspace, double cost, double now, double latestStart) {
		refresh(now);
		double usable = this.capacity * this.yield * this.parameters.capacityShare();
		if (usable <= 0) {
			return 1_000;
		}
		double excess = this.committed.excess(now, latestStart, cost, usable, this.graceMillis) / usable;
		if (!this.parameters.fairShares()) {
			return excess;
		}
		WorkspaceShare share = this.queue.shareOf(workspace, now);
		double tolerance = this.parameters.shareTolerance();
		double shared = (tolerance > 0) ? tolerance * this.capacity * this.yield : usable;
		double guaranteed = shared * share.weight() / Math.max(this.activeWeights, share.weight());
		double demand = share.demand(now);
		double available = Math.max(guaranteed, usable - this.reservedShares + Math.min(demand, guaranteed));
		double shareExcess = share.committed().excess(now, latestStart, cost, available, this.graceMillis) / available;
		return (demand <= guaranteed) ? shareExcess : Math.max(excess, shareExcess);
	}

	void commit(Workspace workspace, double cost, double latestStart) {
		this.committed.add(latestStart, cost);
		this.queue.shareOf(workspace, millis()).committed().add(latestStart, cost);
	}

	void uncommit(Workspace workspace, double cost, double latestStart) {
		this.committed.add(latestStart, -cost);
		this.queue.shareOf(workspace, millis()).committed().add(latestStart, -cost);
	}

	void enqueue(WaitingRequest request) {
		WorkspaceShare share = this.queue.shareOf(request.request().workspace(), millis());
		this.queue.add(request, share);
		request.emitter().setCancellable(() -> this.queue.remove(request, share));
		drain();
	}

	/**
	 * Sends waiting requests to endpoints with room.
	 */
	void drain() {
		if (this.draining) {
			return;
		}
		this.draining = true;
		try {
			while (drainOnce()) {
				continue;
			}
		}
		finally {
			this.draining = false;
		}
		if (this.queue.size() > 0 && !this.retryScheduled) {
			this.retryScheduled = true;
			this.timers.after(RETRY_INTERVAL).subscribe(() -> {
				this.retryScheduled = false;
				drain();
			});
		}
	}

	private boolean drainOnce() {
		if (this.queue.size() == 0) {
			this.pressed = false;
			return false;
		}
		double now = millis();
		int held = 0;
		this.pressed = false;
		List<WaitingRequest> next = this.queue.next(this.parameters.lookahead(), this.parameters.fairShares(),
				meanCost());
		for (WaitingRequest request : next) {
			Selection choice = choose(request, now, held);
			if (choice.endpoint != null) {
				send(request, choice.endpoint, now);
				return true;
			}
			if (!choice.forCost) {
				this.pressed = true;
			}
			if (choice.hopeless) {
				adaptAdmission(true);
				refuse(request);
				return true;
			}
			held++;
		}
		return false;
	}

	private double meanCost() {
		WaitingRequest any = this.queue.next(1, false, 0).get(0);
		return any.statistics().mean();
	}

	private Selection choose(WaitingRequest request, double now, int held) {
		shuffleSample();
		int sample = Math.min(this.parameters.sampleSize(), this.order.length);
		StageStatistics stage = request.statistics();
		double budget = request.deadlineMillis() - request.laterMillis() - now;
		boolean byCost = request.request().requestClass().objective() == Objective.COST;
		EndpointStatistics best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		double bestCompletion = Double.POSITIVE_INFINITY;
		double bestProbability = 0;
		double highestProbability = 0;
		double lowestFullScore = Double.POSITIVE_INFINITY;
		boolean anyUsable = false;
		for (int i = 0; i < sample; i++) {
			EndpointStatistics candidate = this.endpoints.get(this.order[i]);
			if (candidate.isPaused(now)
					|| request.request().excludedEndpoints().contains(candidate.endpoint().name())) {
				continue;
			}
			anyUsable = true;
			double factor = candidate.factor(now, this.parameters.censored());
			double warm = candidate.isWarm(request.request().prefixHash()) ? this.warmRatio : 1;
			double execution = stage.mean() * factor * warm;
			double distance = candidate.sameZone() ? 0 : CROSS_ZONE_MILLIS;
			boolean room = candidate.hasRoom(now, this.parameters);
			double wait = room ? candidate.waitMillis(now, execution) : 0;
			double probability = stage.probabilityWithin((budget - wait - distance) / (factor * warm));
			highestProbability = Math.max(highestProbability, probability);
			double completion = wait + distance + execution;
			double score = byCost ? candidate.endpoint().priceFactor() * factor * warm : completion;
			boolean likely = probability >= this.parameters.finishProbability();
			if (!room) {
				lowestFullScore = likely ? Math.min(lowestFullScore, score) : lowestFullScore;
				continue;
			}
			boolean bestLikely = bestProbability >= this.parameters.finishProbability();
			if (best == null || (likely && !bestLikely) || (likely == bestLikely && score < bestScore)) {
				best = candidate;
				bestScore = score;
				bestCompletion = completion;
				bestProbability = probability;
			}
		}
		if (anyUsable && highestProbability < LOWEST_PROBABILITY) {
			return Selection.HOPELESS;
		}
		if (best == null) {
			return Selection.HOLD;
		}
		if (bestProbability < this.parameters.finishProbability() && bestProbability < highestProbability - 0.02) {
			return Selection.HOLD;
		}
		double slack = request.latestStartMillis() - now;
		if (byCost && lowestFullScore < COST_ADVANTAGE * bestScore
				&& slack > this.parameters.costSlack() * request.request().requestClass().deadline().toMillis()) {
			return Selection.HOLD_FOR_COST;
		}
		if (this.parameters.holding() && !byCost
				&& fasterCompletion(request, now, sample, held, bestCompletion) < bestCompletion) {
			return Selection.HOLD;
		}
		return new Selection(best, false, false);
	}

	// Returns in how many milliseconds a request would complete if it waited for one of
	// the sampled endpoints that are full and faster.
	private double fasterCompletion(WaitingRequest request, double now, int sample, int held, double completion) {
		double releasesPerMilli = 0;
		double weighted = 0;
		for (int i = 0; i < sample; i++) {
			EndpointStatistics candidate = this.endpoints.get(this.order[i]);
			if (candidate.hasRoom(now, this.parameters) || candidate.isPaused(now) || candidate.outstanding() == 0) {
				continue;
			}
			double execution = request.statistics().mean() * candidate.factor(now, this.parameters.censored());
			if (execution <= 0 || execution >= completion) {
				continue;
			}
			double releases = Math.min(candidate.outstanding(), candidate.slots()) / execution;
			releasesPerMilli += releases;
			weighted += releases * execution;
		}
		return (releasesPerMilli == 0) ? Double.POSITIVE_INFINITY : (held + 1 + weighted) / releasesPerMilli;
	}

	private void shuffleSample() {
		int sample = Math.min(this.parameters.sampleSize(), this.order.length);
		for (int i = 0; i < sample; i++) {
			int j = i + this.random.nextInt(this.order.length - i);
			int swapped = this.order[i];
			this.order[i] = this.order[j];
			this.order[j] = swapped;
		}
	}

	private void send(WaitingRequest request, EndpointStatistics endpoint, double now) {
		WorkspaceShare share = this.queue.shareOf(request.request().workspace(), now);
		this.queue.remove(request, share);
		request.onSent().run();
		double mean = request.statistics().mean();
		share.serve(mean);
		this.sentWork += mean;
		adaptAdmission(now > request.latestStartMillis());
		boolean warm = endpoint.isWarm(request.request().prefixHash());
		double wait = endpoint.waitMillis(now, mean * endpoint.factor(now, this.parameters.censored()));
		EndpointStatistics.Attempt attempt = endpoint.start(now, mean, wait, request.request().prefixHash());
		request.emitter().onSuccess(new PoolAssignment(endpoint, attempt, request.statistics(), warm));
	}

	private void refuse(WaitingRequest request) {
		this.queue.remove(request, this.queue.shareOf(request.request().workspace(), millis()));
		request.emitter()
			.onError(new AssignmentException(RefusalReason.DEADLINE_EXCEEDED,
					"stage " + request.request().stage().name() + " can no longer finish in time",
					Duration.ofSeconds(1)));
	}

	private void refresh(double now) {
		if (now - this.refreshedAtMillis < CAPACITY_REFRESH_MILLIS) {
			return;
		}
		double slots = 0;
		double parallelism = 0;
		double factors = 0;
		for (EndpointStatistics statistics : this.endpoints) {
			factors += statistics.observedFactor(now);
			if (statistics.isPaused(now)) {
				continue;
			}
			double mine = Math.max(Math.min(statistics.outstanding(), statistics.slots()),
					statistics.slots() - statistics.othersAt(now));
			slots += mine;
			parallelism += mine / statistics.factor(now, this.parameters.censored());
		}
		this.meanFactor = this.endpoints.isEmpty() ? 1 : factors / this.endpoints.size();
		double elapsed = now - this.refreshedAtMillis;
		double retained = this.parameters.backlogFromWaits() ? Math.exp(-elapsed / CAPACITY_MILLIS) : 0;
		this.capacity = parallelism + retained * (this.capacity - parallelism);
		this.refreshedAtMillis = now;
		this.typicalFactor = (parallelism > 0) ? slots / parallelism : 1;
		if (this.parameters.measuredCapacity()) {
			updateYield(now);
		}
		double weights = 0;
		for (WorkspaceShare share : this.queue.shares()) {
			if (!share.isIdle(now)) {
				weights += share.weight();
			}
		}
		double reserved = 0;
		for (WorkspaceShare share : this.queue.shares()) {
			reserved += Math.min(share.demand(now), parallelism * share.weight() / Math.max(1, weights));
		}
		this.activeWeights = Math.max(1, weights);
		this.reservedShares = reserved;
	}

	private void adaptAdmission(boolean late) {
		if (late) {
			this.graceMillis = Math.max(SHORTEST_GRACE_MILLIS, this.graceMillis * GRACE_DECREASE);
		}
		else if (!this.pressed) {
			this.graceMillis = Math.min(this.parameters.longestGraceMillis(), this.graceMillis + GRACE_INCREASE_MILLIS);
		}
	}

	private void updateYield(double now) {
		if (!this.pressed || Double.isNaN(this.waitedSinceMillis)) {
			this.yield += YIELD_RECOVERY * (1 - this.yield);
			this.waitedSinceMillis = this.pressed ? now : Double.NaN;
			this.sentWork = 0;
			this.expectedWork = 0;
			return;
		}
		double elapsed = now - this.waitedSinceMillis;
		this.expectedWork += this.capacity * elapsed;
		this.waitedSinceMillis = now;
		double window = Math.max(SHORTEST_YIELD_MILLIS,
				Math.min(LONGEST_YIELD_MILLIS, YIELD_MULTIPLE * this.meanExecutionMillis));
		double retained = Math.exp(-elapsed / window);
		this.sentWork *= retained;
		this.expectedWork *= retained;
		if (this.expectedWork > 0) {
			double measured = Math.max(LOWEST_YIELD, Math.min(HIGHEST_YIELD, this.sentWork / this.expectedWork));
			this.yield += (1 - retained) * (measured - this.yield);
		}
	}

	private double millis() {
		return this.timers.nanoTime() / 1e6;
	}

	private record Selection(@Nullable EndpointStatistics endpoint, boolean hopeless, boolean forCost) {

		private static final Selection HOLD = new Selection(null, false, false);

		private static final Selection HOLD_FOR_COST = new Selection(null, false, true);

		private static final Selection HOPELESS = new Selection(null, true, false);

	}

	private final class PoolAssignment implements Assignment {

		private final EndpointStatistics statistics;

		private final EndpointStatistics.Attempt attempt;

		private final StageStatistics stage;

		private final boolean warm;

		private boolean ended;

		private PoolAssignment(EndpointStatistics statistics, EndpointStatistics.Attempt attempt, StageStatistics stage,
				boolean warm) {
			this.statistics = statistics;
			this.attempt = attempt;
			this.stage = stage;
			this.warm = warm;
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
			double now = millis();
			double factor = this.statistics.observedFactor(now) / EndpointPool.this.meanFactor;
			double expected = this.stage.expected(output.units());
			EndpointPool.this.meanExecutionMillis += 0.02
					* (output.endpointMillis() - EndpointPool.this.meanExecutionMillis);
			this.statistics.completed(now, this.attempt, output.endpointMillis(), expected);
			this.stage.add(now, output.endpointMillis() / factor, output.units());
			if (this.warm && expected > 0) {
				double ratio = output.endpointMillis() / (expected * factor);
				EndpointPool.this.warmRatio += 0.02 * (Math.min(1, ratio) - EndpointPool.this.warmRatio);
			}
			this.statistics.reported(now, load);
			drain();
		}

		@Override
		public void failed() {
			if (end()) {
				this.statistics.failed(millis(), EndpointPool.this.random);
				drain();
			}
		}

		@Override
		public void released() {
			if (end()) {
				drain();
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
