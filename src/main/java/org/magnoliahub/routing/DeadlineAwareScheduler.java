package org.magnoliahub.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.TimerService;

/**
 * Scheduler that admits a request only if its stages are expected to finish before its
 * deadline, and sends each stage to the endpoint with the earliest expected completion
 * or, under the cost objective, with the lowest price.
 */
public final class DeadlineAwareScheduler implements StageScheduler {

	/** Maximum number of requests in flight at one gateway. */
	private static final int MAXIMUM_IN_FLIGHT = 20_000;

	private static final double MINIMUM_RETRY_AFTER_MILLIS = 100;

	private static final double MAXIMUM_RETRY_AFTER_MILLIS = 10_000;

	private final Supplier<Configuration> configuration;

	private final TimerService timers;

	private final RandomGenerator random;

	private final AvailabilityZone zone;

	private final String gateway;

	private final SchedulerParameters parameters;

	private final Map<String, EndpointPool> pools = new HashMap<>();

	private final Map<StatisticsKey, StageStatistics> stageStatistics = new HashMap<>();

	private final Map<RequestId, AdmittedRequest> admitted = new HashMap<>();

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Set<String> unusableEndpoints = new HashSet<>();

	private long appliedVersion = -1;

	private long nextSequence;

	private DeadlineAwareScheduler(Supplier<Configuration> configuration, TimerService timers, RandomGenerator random,
			AvailabilityZone zone, String gateway, SchedulerParameters parameters) {
		this.configuration = configuration;
		this.timers = timers;
		this.random = random;
		this.zone = zone;
		this.gateway = gateway;
		this.parameters = parameters;
	}

	/**
	 * Creates a scheduler.
	 * @param configuration supplies the current configuration
	 * @param timers monotonic time and timers
	 * @param random source of randomness for sampling and retry times
	 * @param zone availability zone of the gateway
	 * @param gateway name of the gateway, which determines its subset of the endpoints
	 * @param parameters parameters of the policy
	 * @return the scheduler
	 */
	public static DeadlineAwareScheduler of(Supplier<Configuration> configuration, TimerService timers,
			RandomGenerator random, AvailabilityZone zone, String gateway, SchedulerParameters parameters) {
		return new DeadlineAwareScheduler(configuration, timers, random, zone, gateway, parameters);
	}

	@Override
	public AdmissionDecision admit(AdmissionRequest request) {
		applyConfiguration();
		Workspace workspace = request.workspace();
		int running = this.inFlight.getOrDefault(workspace.name(), 0);
		if (running >= workspace.maximumConcurrentRequests() || this.admitted.size() >= MAXIMUM_IN_FLIGHT) {
			return new AdmissionDecision.Refused(
					RefusalReason.LIMIT_REACHED, "workspace " + workspace.name() + " has " + running
							+ " requests in flight, limit is " + workspace.maximumConcurrentRequests(),
					Duration.ofSeconds(1));
		}
		double now = nowMillis();
		AdmittedRequest plan = plan(request, now);
		double excessMillis = 0;
		for (PlannedStage stage : plan.stages) {
			if (!stage.pool.hasUsableEndpoint()) {
				return new AdmissionDecision.Refused(RefusalReason.NO_ENDPOINT,
						"a pool of pipeline " + request.pipeline().name() + " has no usable endpoint",
						retryAfter(1_000));
			}
			excessMillis = Math.max(excessMillis,
					stage.pool.excessMillis(workspace, stage.workMillis, now, Math.max(now, stage.latestStart)));
		}
		for (PlannedStage stage : plan.stages) {
			stage.pool.queue().shareOf(workspace, now).addDemand(now, stage.workMillis);
		}
		if (plan.expectedMillis > request.budget().toNanos() / 1e6) {
			return new AdmissionDecision.Refused(RefusalReason.DEADLINE_TOO_SHORT, "stages are expected to take "
					+ Math.round(plan.expectedMillis) + " ms, but " + request.budget().toMillis() + " ms are left",
					retryAfter(1_000));
		}
		if (excessMillis > 0) {
			return new AdmissionDecision.Refused(RefusalReason.OVERLOADED,
					"the endpoints cannot finish the request in time", retryAfter(excessMillis));
		}
		plan.stages.forEach((stage) -> stage.pool.commit(workspace, stage.workMillis, stage.latestStart));
		this.admitted.put(request.request(), plan);
		this.inFlight.merge(workspace.name(), 1, Integer::sum);
		return new AdmissionDecision.Admitted();
	}

	@Override
	public Single<Assignment> assign(AssignmentRequest request) {
		return Single.create((emitter) -> {
			applyConfiguration();
			double now = nowMillis();
			EndpointPool pool = poolOf(request.stage().pool());
			if (pool.endpoints()
				.stream()
				.noneMatch((statistics) -> statistics.isUsable()
						&& !request.excludedEndpoints().contains(statistics.endpoint().name()))) {
				emitter.onError(pool.noEndpointException());
				return;
			}
			AdmittedRequest plan = this.admitted.get(request.attempt().request());
			double laterStagesMillis = 0;
			double latestStart = now + request.budget().toNanos() / 1e6;
			double deadline = latestStart;
			for (int i = request.attempt().stage(); i < request.pipeline().stages().size(); i++) {
				StageDefinition stage = request.pipeline().stages().get(i);
				double slowdown = poolOf(stage.pool()).typicalSlowdown(now);
				laterStagesMillis += (i > request.attempt().stage())
						? statisticsOf(request.requestClass(), stage).meanMillis() * slowdown : 0;
				latestStart -= statisticsOf(request.requestClass(), stage)
					.quantileMillis(this.parameters.tailQuantile()) * slowdown;
			}
			WaitingRequest waiting = new WaitingRequest(request, statisticsOf(request.requestClass(), request.stage()),
					deadline, laterStagesMillis, latestStart, this.nextSequence++, () -> {
						if (plan != null) {
							plan.markStarted(request.attempt().stage());
						}
					}, emitter);
			pool.enqueue(waiting);
		});
	}

	@Override
	public void release(AdmissionRequest request) {
		AdmittedRequest plan = this.admitted.remove(request.request());
		if (plan == null) {
			return;
		}
		plan.markStarted(plan.stages.size() - 1);
		this.inFlight.computeIfPresent(request.workspace().name(), (name, count) -> (count > 1) ? count - 1 : null);
	}

	@Override
	public void setUsable(String endpoint, boolean usable) {
		if (usable) {
			this.unusableEndpoints.remove(endpoint);
		}
		else {
			this.unusableEndpoints.add(endpoint);
		}
		this.pools.values().forEach((pool) -> pool.setUsable(endpoint, usable));
	}

	@Override
	public void loadReported(String endpoint, Message.LoadReport load) {
		this.pools.values().forEach((pool) -> pool.loadReported(endpoint, load));
	}

	private AdmittedRequest plan(AdmissionRequest request, double now) {
		List<StageDefinition> definitions = request.pipeline().stages();
		PlannedStage[] planned = new PlannedStage[definitions.size()];
		double latestStart = now + request.budget().toNanos() / 1e6;
		double expectedMillis = 0;
		for (int i = definitions.size() - 1; i >= 0; i--) {
			EndpointPool pool = poolOf(definitions.get(i).pool());
			StageStatistics statistics = statisticsOf(request.requestClass(), definitions.get(i));
			latestStart -= statistics.quantileMillis(this.parameters.tailQuantile()) * pool.typicalSlowdown(now);
			expectedMillis += statistics.meanMillis() * pool.minimumSlowdown(now);
			planned[i] = new PlannedStage(pool, statistics.meanMillis(), latestStart);
		}
		return new AdmittedRequest(request.workspace(), List.of(planned), expectedMillis);
	}

	private void applyConfiguration() {
		Configuration current = this.configuration.get();
		if (current.version() == this.appliedVersion) {
			return;
		}
		this.appliedVersion = current.version();
		this.unusableEndpoints.retainAll(current.endpoints().keySet());
		this.pools.forEach((name, pool) -> update(pool, name, current));
		this.stageStatistics.keySet()
			.removeIf((key) -> current.pipelines()
				.values()
				.stream()
				.noneMatch((pipeline) -> pipeline.stages().contains(key.stage()))
					|| !current.requestClasses().containsKey(key.requestClass()));
	}

	private void update(EndpointPool pool, String name, Configuration current) {
		// Draining endpoints are filtered out after the subset is chosen, because the
		// subset also determines the connections of the gateway.
		List<Endpoint> usable = EndpointSubset.choose(current.endpointsOf(name), this.gateway, this.zone)
			.stream()
			.filter((endpoint) -> !endpoint.draining())
			.toList();
		pool.update(usable, this.zone.name());
		this.unusableEndpoints.forEach((endpoint) -> pool.setUsable(endpoint, false));
	}

	private EndpointPool poolOf(String name) {
		EndpointPool pool = this.pools.get(name);
		if (pool == null) {
			pool = new EndpointPool(name, this.parameters, this.timers, this.random);
			update(pool, name, this.configuration.get());
			this.pools.put(name, pool);
		}
		return pool;
	}

	private StageStatistics statisticsOf(RequestClass requestClass, StageDefinition stage) {
		double now = nowMillis();
		return this.stageStatistics.compute(new StatisticsKey(requestClass.name(), stage),
				(key, known) -> (known == null || known.isStale(now)) ? new StageStatistics() : known);
	}

	private Duration retryAfter(double millis) {
		double boundedMillis = Math.max(MINIMUM_RETRY_AFTER_MILLIS, Math.min(MAXIMUM_RETRY_AFTER_MILLIS, millis));
		return Duration.ofMillis((long) (boundedMillis * (1 + 0.5 * this.random.nextDouble())));
	}

	private double nowMillis() {
		return this.timers.nanoTime() / 1e6;
	}

	// Includes the request class, because classes that share a stage differ in their
	// work. A mean over short lookups and long drafts refuses lookups that would finish
	// in time.
	private record StatisticsKey(String requestClass, StageDefinition stage) {
	}

	private record PlannedStage(EndpointPool pool, double workMillis, double latestStart) {
	}

	private static final class AdmittedRequest {

		private final Workspace workspace;

		private final List<PlannedStage> stages;

		private final double expectedMillis;

		private int startedStages;

		private AdmittedRequest(Workspace workspace, List<PlannedStage> stages, double expectedMillis) {
			this.workspace = workspace;
			this.stages = stages;
			this.expectedMillis = expectedMillis;
		}

		private void markStarted(int stage) {
			while (this.startedStages <= stage && this.startedStages < this.stages.size()) {
				PlannedStage planned = this.stages.get(this.startedStages++);
				planned.pool.uncommit(this.workspace, planned.workMillis, planned.latestStart);
			}
		}

	}

}
