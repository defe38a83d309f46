package org.magnoliahub.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.routing.AdmissionDecision;
import org.magnoliahub.routing.AdmissionRequest;
import org.magnoliahub.routing.Assignment;
import org.magnoliahub.routing.AssignmentRequest;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

/**
 * One run of one scheduler on one seed. Drives requests through their stages as a gateway
 * does, with retries of idempotent stages from a token budget.
 */
final class ExperimentRun {

	private static final Duration SAME_ZONE_LATENCY = Duration.ofNanos(300_000);

	private static final Duration CROSS_ZONE_LATENCY = Duration.ofNanos(1_300_000);

	/** Retry tokens earned by one completed stage. */
	private static final double TOKENS_PER_SUCCESS = 0.1;

	private static final double MAXIMUM_TOKENS = 20;

	private final Workload workload;

	private final ExperimentOptions options;

	private final TestScheduler scheduler = new TestScheduler();

	private final TimerService timers = SchedulerTimerService.virtual(this.scheduler);

	private final Map<String, FakeEndpoint> endpoints = new HashMap<>();

	private final Map<String, RequestClass> requestClasses;

	private final Map<String, PipelineDefinition> pipelines;

	private final Map<String, Workspace> workspaces;

	private final List<Gateway> gateways = new ArrayList<>();

	private final SplittableRandom random;

	private final RunStatistics statistics;

	private ExperimentRun(Workload workload, ExperimentOptions options, Policy policy, long seed) {
		this.workload = workload;
		this.options = options;
		this.random = new SplittableRandom(seed + 1);
		this.statistics = new RunStatistics(workload, options);
		Configuration configuration = workload.configuration(options.ignoreCost());
		this.requestClasses = configuration.requestClasses();
		this.pipelines = configuration.pipelines();
		this.workspaces = configuration.workspaces();
		for (Workload.Pool pool : workload.pools()) {
			List<Endpoint> members = configuration.endpointsOf(pool.name());
			for (Endpoint endpoint : members) {
				int index = Integer.parseInt(endpoint.name().substring(pool.name().length() + 1));
				this.endpoints.put(endpoint.name(),
						new FakeEndpoint(endpoint, pool, pool.speeds().get(index), this.timers, this.random.split()));
			}
		}
		for (int i = 0; i < options.gateways(); i++) {
			AvailabilityZone zone = new AvailabilityZone(workload.zones().get(i % workload.zones().size()));
			StageScheduler stageScheduler = policy.create(() -> configuration, this.timers, this.random.split(), zone,
					"gateway-" + i);
			this.gateways.add(new Gateway(stageScheduler, zone));
		}
	}

	/**
	 * Runs a scheduler.
	 * @param workload the workload
	 * @param options load, window and faults
	 * @param policy the scheduler
	 * @param seed seed of arrivals and of all choices
	 * @return what was measured
	 */
	static RunStatistics run(Workload workload, ExperimentOptions options, Policy policy, long seed) {
		ExperimentRun run = new ExperimentRun(workload, options, policy, seed);
		List<Arrival> arrivals = Arrival.generate(workload, options, seed);
		options.faults().forEach(run::schedule);
		run.scheduleArrival(arrivals, 0);
		run.scheduler.advanceTimeTo((long) (options.horizonMillis() * 1e6), TimeUnit.NANOSECONDS);
		return run.statistics;
	}

	private void schedule(Fault fault) {
		Duration from = Duration.ofNanos((long) (fault.fromMillis() * 1e6));
		Duration to = Duration.ofNanos((long) (fault.toMillis() * 1e6));
		if (fault.kind() == Fault.Kind.SLOW) {
			FakeEndpoint endpoint = this.endpoints.get(fault.target());
			if (endpoint == null) {
				throw new IllegalArgumentException("no endpoint named '" + fault.target() + "'");
			}
			this.timers.after(from).subscribe(() -> {
				endpoint.changeSpeed(1 / fault.factor());
				this.statistics.watch(fault.target());
			});
			this.timers.after(to).subscribe(() -> endpoint.changeSpeed(fault.factor()));
		}
		else if (fault.kind() == Fault.Kind.ZONE) {
			List<FakeEndpoint> affected = this.endpoints.values()
				.stream()
				.filter((endpoint) -> endpoint.endpoint().availabilityZone().name().equals(fault.target()))
				.toList();
			this.timers.after(from).subscribe(() -> affected.forEach(FakeEndpoint::lose));
			this.timers.after(to).subscribe(() -> affected.forEach(FakeEndpoint::recover));
		}
	}

	private void scheduleArrival(List<Arrival> arrivals, int index) {
		if (index == arrivals.size()) {
			return;
		}
		Arrival arrival = arrivals.get(index);
		Duration delay = Duration.ofNanos((long) (arrival.millis() * 1e6) - this.timers.nanoTime());
		this.timers.after(delay).subscribe(() -> {
			scheduleArrival(arrivals, index + 1);
			new Request(arrival, index).start();
		});
	}

	/**
	 * Creates a scheduler for one gateway.
	 */
	@FunctionalInterface
	interface Policy {

		StageScheduler create(java.util.function.Supplier<Configuration> configuration, TimerService timers,
				java.util.random.RandomGenerator random, AvailabilityZone zone, String gateway);

	}

	private static final class Gateway {

		private final StageScheduler scheduler;

		private final AvailabilityZone zone;

		private double tokens = MAXIMUM_TOKENS;

		private Gateway(StageScheduler scheduler, AvailabilityZone zone) {
			this.scheduler = scheduler;
			this.zone = zone;
		}

		private Duration latencyTo(Endpoint endpoint) {
			return endpoint.availabilityZone().equals(this.zone) ? SAME_ZONE_LATENCY : CROSS_ZONE_LATENCY;
		}

	}

	/**
	 * A request on its way through the stages.
	 */
	private final class Request {

		private final Arrival arrival;

		private final RequestId id;

		private final Gateway gateway;

		private final AdmissionRequest admission;

		private final long arrivedNanos;

		private final Set<String> excluded = new HashSet<>();

		private final RunStatistics.RequestRecord record;

		private int stage;

		private int attempt;

		private boolean done;

		private @Nullable Disposable waiting;

		private @Nullable Attempt running;

		private Request(Arrival arrival, int index) {
			this.arrival = arrival;
			this.id = new RequestId("r" + index);
			this.gateway = ExperimentRun.this.gateways.get(arrival.gateway());
			this.arrivedNanos = ExperimentRun.this.timers.nanoTime();
			this.record = ExperimentRun.this.statistics.arrived(arrival);
			String name = arrival.load().name();
			this.admission = new AdmissionRequest(this.id,
					java.util.Objects.requireNonNull(ExperimentRun.this.workspaces.get(arrival.tenant().name())),
					java.util.Objects.requireNonNull(ExperimentRun.this.requestClasses.get(name)),
					java.util.Objects.requireNonNull(ExperimentRun.this.pipelines.get(name)),
					Duration.ofMillis(arrival.load().deadlineMillis()));
		}

		private void start() {
			if (this.gateway.scheduler.admit(this.admission) instanceof AdmissionDecision.Refused) {
				this.done = true;
				this.record.refused(0);
				return;
			}
			this.record.admitted();
			ExperimentRun.this.timers.after(this.admission.budget()).subscribe(this::deadlinePassed);
			nextAttempt();
		}

		private Duration budget() {
			return this.admission.budget().minusNanos(ExperimentRun.this.timers.nanoTime() - this.arrivedNanos);
		}

		private void nextAttempt() {
			if (this.done) {
				return;
			}
			this.attempt++;
			AssignmentRequest request = new AssignmentRequest(new AttemptId(this.id, this.stage, this.attempt),
					this.admission.workspace(), this.admission.requestClass(), this.admission.pipeline(), budget(),
					this.excluded,
					this.arrival.load().stages().get(this.stage).reportsUnits() ? this.arrival.prefix() : 0);
			this.waiting = this.gateway.scheduler.assign(request).subscribe(this::send, (ex) -> notAssigned());
		}

		private void notAssigned() {
			if (this.stage == 0 && this.attempt == 1) {
				this.record.refused((ExperimentRun.this.timers.nanoTime() - this.arrivedNanos) / 1e6);
				end();
			}
			else {
				fail();
			}
		}

		private void send(Assignment assignment) {
			this.running = new Attempt(this, assignment);
			this.running.send();
		}

		private void stageCompleted() {
			this.gateway.tokens = Math.min(MAXIMUM_TOKENS, this.gateway.tokens + TOKENS_PER_SUCCESS);
			this.running = null;
			this.stage++;
			this.attempt = 0;
			this.excluded.clear();
			if (this.stage < this.arrival.load().stages().size()) {
				nextAttempt();
				return;
			}
			this.record.completed(ExperimentRun.this.timers.nanoTime() / 1e6);
			end();
		}

		private void attemptFailed(String endpoint, boolean neverSent) {
			this.running = null;
			boolean repeatable = neverSent || this.arrival.load().stages().get(this.stage).idempotent();
			if (!repeatable || this.gateway.tokens < 1) {
				fail();
				return;
			}
			this.gateway.tokens -= 1;
			this.excluded.add(endpoint);
			long backoff = 5_000_000 + ExperimentRun.this.random.nextLong(15_000_000);
			ExperimentRun.this.timers.after(Duration.ofNanos(backoff)).subscribe(this::nextAttempt);
		}

		private void fail() {
			this.record.failed();
			end();
		}

		private void deadlinePassed() {
			if (this.done) {
				return;
			}
			if (this.waiting != null) {
				this.waiting.dispose();
			}
			if (this.running != null) {
				this.running.cancel();
			}
			fail();
		}

		private void end() {
			this.done = true;
			this.gateway.scheduler.release(this.admission);
		}

	}

	/**
	 * One attempt at one endpoint.
	 */
	private final class Attempt implements FakeEndpoint.CallListener {

		private final Request request;

		private final Assignment assignment;

		private final FakeEndpoint endpoint;

		private final Workload.StageLoad stage;

		private final Duration latency;

		private FakeEndpoint.@Nullable Call call;

		private boolean ended;

		private Attempt(Request request, Assignment assignment) {
			this.request = request;
			this.assignment = assignment;
			this.endpoint = java.util.Objects
				.requireNonNull(ExperimentRun.this.endpoints.get(assignment.endpoint().name()));
			this.stage = request.arrival.load().stages().get(request.stage);
			this.latency = request.gateway.latencyTo(assignment.endpoint());
		}

		private void send() {
			ExperimentRun.this.statistics.attempt(this.request.attempt > 1);
			ExperimentRun.this.timers.after(this.latency).subscribe(() -> {
				if (!this.ended) {
					this.call = this.endpoint.call(this.request.arrival.units()[this.request.stage],
							this.stage.reportsUnits(), this.request.arrival.prefix(), this);
				}
			});
		}

		private void cancel() {
			this.ended = true;
			this.assignment.released();
			ExperimentRun.this.timers.after(this.latency).subscribe(() -> {
				if (this.call != null) {
					this.request.record.ran(this.stage, this.call.runningMillis(), this.assignment.endpoint());
					this.endpoint.cancel(this.call);
				}
			});
		}

		@Override
		public void completed(double runningMillis) {
			this.call = null;
			this.request.record.ran(this.stage, runningMillis, this.assignment.endpoint());
			ExperimentRun.this.statistics.completedAt(this.endpoint.endpoint().name(),
					ExperimentRun.this.timers.nanoTime() / 1e6);
			long units = this.stage.reportsUnits() ? (long) this.request.arrival.units()[this.request.stage] : 1;
			StageOutput output = new StageOutput(this.stage.name(), "", units, Math.round(runningMillis));
			org.magnoliahub.protocol.Message.LoadReport load = this.endpoint.load();
			ExperimentRun.this.timers.after(this.latency).subscribe(() -> {
				if (!this.ended) {
					this.ended = true;
					this.assignment.completed(output, load);
					this.request.stageCompleted();
				}
			});
		}

		@Override
		public void failed(boolean neverSent) {
			ExperimentRun.this.timers.after(this.latency).subscribe(() -> {
				if (!this.ended) {
					this.ended = true;
					this.assignment.failed();
					this.request.attemptFailed(this.endpoint.endpoint().name(), neverSent);
				}
			});
		}

	}

}
