package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Simulates requests that pass chains of stages, before endpoints that run one batch at a
 * time and store results until they are released. Queues, admission and the order of
 * stages are those of the gateway; time is virtual.
 */
final class StageChainSimulation {

	static final Outcomes NO_REQUESTS = new Outcomes();

	private static final long LOAD_REPORT_MILLIS = 150;

	private static final long ANNOUNCEMENT_MILLIS = 2_500;

	/** Time from the release by a gateway to the confirmation by the endpoint. */
	private static final long RELEASE_MILLIS = 10;

	private static final long RETURN_MILLIS = 2_500;

	private final Random random;

	private final Map<String, Service> services = new LinkedHashMap<>();

	private final Map<String, StageLoad> reportedLoads = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Map<String, Outcomes> outcomes = new LinkedHashMap<>();

	private final Map<Long, Request> requestsByJob = new HashMap<>();

	private long now;

	private long sequence;

	private long nextId = 1;

	StageChainSimulation(long seed) {
		this.random = new Random(seed);
	}

	StageChainSimulation service(String name, int endpoints, StageLimits limits) {
		this.services.put(name, new Service(name, endpoints, limits));
		return this;
	}

	/**
	 * Adds the arrivals of a class from a start to an end, at random moments.
	 */
	StageChainSimulation arrivals(RequestClass requestClass, double perSecond, long start, long end) {
		this.outcomes.putIfAbsent(requestClass.name(), new Outcomes());
		double time = start;
		while (true) {
			time += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			if (time >= end) {
				return this;
			}
			long arrival = (long) time;
			at(arrival, () -> arrive(requestClass, arrival, true));
		}
	}

	/**
	 * Replaces the queue of a service by one that does not know the stored results, as
	 * when another gateway becomes its owner.
	 */
	StageChainSimulation ownerChange(String service, long time) {
		at(time, () -> service(service).replaceQueue());
		return this;
	}

	private Service service(String name) {
		return Objects.requireNonNull(this.services.get(name), name);
	}

	Map<String, Outcomes> run() {
		for (long time = 0; time < 60_000; time += LOAD_REPORT_MILLIS) {
			at(time, this::reportLoads);
		}
		for (long time = 0; time < 60_000; time += 50) {
			at(time, this::expire);
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		return this.outcomes;
	}

	private void at(long time, Runnable action) {
		this.events.add(new Event(time, this.sequence++, action));
	}

	private void reportLoads() {
		this.services.forEach((name, service) -> this.reportedLoads.put(name, service.queue.load(this.now)));
	}

	private void expire() {
		for (Service service : this.services.values()) {
			for (StageTask task : service.queue.removeExpired(this.now)) {
				fail(task);
			}
			service.startBatches();
		}
	}

	private void arrive(RequestClass requestClass, long firstArrival, boolean mayReturn) {
		Request request = new Request(requestClass, firstArrival);
		if (mayReturn) {
			request.outcomes().asked++;
		}
		long objective = requestClass.objectiveMillis();
		StageAdmission.Estimate estimate = new StageAdmission.Estimate(
				request.chain.expectedWaitMillis(this::reportedLoad), request.chain.fullBatchesMillis(),
				request.chain.minimumMillis(), objective, 4 * objective, requestClass.priority());
		if (StageAdmission.isAdmitted(estimate)) {
			request.start();
			return;
		}
		if (!mayReturn) {
			request.outcomes().refused++;
			return;
		}
		at(this.now + RETURN_MILLIS, () -> arrive(requestClass, firstArrival, false));
	}

	private StageLoad reportedLoad(String service) {
		return this.reportedLoads.getOrDefault(service, StageLoad.UNKNOWN);
	}

	private boolean isStored(String handle) {
		return this.services.values()
			.stream()
			.flatMap((service) -> service.storedBytes.values().stream())
			.anyMatch((stored) -> stored.containsKey(handle));
	}

	private void fail(StageTask task) {
		Request request = this.requestsByJob.get(task.job().jobId());
		if (request != null) {
			request.end();
		}
	}

	/** Class of requests with the same route. */
	record RequestClass(String name, int priority, long objectiveMillis, List<RouteStage> stages, List<Integer> pieces,
			Map<Integer, Double> workFactors, long firstEventMillis) {
	}

	/** Ends of the requests of a class. */
	static final class Outcomes {

		private int asked;

		private int inTime;

		private int late;

		private int refused;

		double lateShareOfAnswered() {
			return (double) this.late / Math.max(1, this.inTime + this.late);
		}

		@Override
		public String toString() {
			return "asked %d, in time %d, late %d, refused %d".formatted(this.asked, this.inTime, this.late,
					this.refused);
		}

	}

	private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.time != other.time) ? Long.compare(this.time, other.time)
					: Long.compare(this.sequence, other.sequence);
		}

	}

	private final class Service {

		private final String name;

		private final StageLimits limits;

		private final EndpointRecord[] endpoints;

		private final Map<String, Map<String, Long>> storedBytes = new HashMap<>();

		private StageQueue queue;

		private Service(String name, int endpoints, StageLimits limits) {
			this.name = name;
			this.limits = limits;
			this.endpoints = IntStream.range(0, endpoints)
				.mapToObj((index) -> ServingFixtures.endpoint(name + "-" + index, name, "z1"))
				.toArray(EndpointRecord[]::new);
			this.queue = newQueue();
		}

		private StageQueue newQueue() {
			return new StageQueue(this.name, this.limits, ServingFixtures.directory(this.endpoints),
					ServingFixtures.retryBudget());
		}

		// Waiting pieces are submitted again; batches of the previous owner are lost.
		private void replaceQueue() {
			this.queue = newQueue();
			for (Request request : Set.copyOf(StageChainSimulation.this.requestsByJob.values())) {
				request.resubmit(this.name);
			}
			startBatches();
		}

		private void startBatches() {
			Optional<StageBatch> batch = this.queue.nextBatch(StageChainSimulation.this.now);
			while (batch.isPresent()) {
				run(batch.get());
				batch = this.queue.nextBatch(StageChainSimulation.this.now);
			}
		}

		private void run(StageBatch batch) {
			StageQueue owner = this.queue;
			String endpoint = batch.endpoint().record().id();
			Map<String, Long> stored = this.storedBytes.computeIfAbsent(endpoint, (id) -> new HashMap<>());
			List<PieceResult> results = new ArrayList<>();
			double millis = this.limits.batchOverheadMillis();
			for (StageTask task : batch.tasks()) {
				Request request = StageChainSimulation.this.requestsByJob.get(task.job().jobId());
				if (!areInputsStored(task.job())) {
					results.add(PieceResult.failed(PieceFailure.INPUT_GONE));
					continue;
				}
				long used = stored.values().stream().mapToLong(Long::longValue).sum();
				if (used + task.job().resultBytes() > this.limits.resultCapacityBytes()) {
					results.add(PieceResult.failed(PieceFailure.NO_ROOM));
					continue;
				}
				String handle = this.name + "/" + endpoint + "/" + StageChainSimulation.this.nextId++;
				stored.put(handle, task.job().resultBytes());
				results.add(new PieceResult(handle, "z1", null));
				expireLater(handle);
				millis += this.limits.pieceMillis() * ((request != null) ? request.workFactor(task.job().stage()) : 1);
			}
			at(StageChainSimulation.this.now + (long) millis, () -> finish(owner, batch, results));
		}

		private void finish(StageQueue owner, StageBatch batch, List<PieceResult> results) {
			if (owner != this.queue) {
				return;
			}
			for (StageQueue.CompletedPiece piece : this.queue.complete(batch, results, StageChainSimulation.this.now)) {
				Request request = StageChainSimulation.this.requestsByJob.get(piece.task().job().jobId());
				if (request == null) {
					release(List.of(String.valueOf(piece.result().handle())));
					continue;
				}
				request.onPiece(piece.task(), piece.result());
			}
			startBatches();
		}

		private boolean areInputsStored(StageJob job) {
			return job.inputs().stream().allMatch(StageChainSimulation.this::isStored);
		}

		private void expireLater(String handle) {
			at(StageChainSimulation.this.now + this.limits.resultLifetimeMillis(), () -> forget(List.of(handle)));
		}

		private void forget(List<String> handles) {
			this.storedBytes.values().forEach((stored) -> stored.keySet().removeAll(new HashSet<>(handles)));
		}

		private void release(List<String> handles) {
			at(StageChainSimulation.this.now + RELEASE_MILLIS, () -> {
				forget(handles);
				this.queue.releaseResults(handles, StageChainSimulation.this.now);
				startBatches();
			});
		}

	}

	private final class Request {

		private final RequestClass requestClass;

		private final long firstArrival;

		private final long startedAt;

		private final boolean repeated;

		private final StageProgress progress;

		private final StageChain chain;

		private final Map<Long, StageJob> jobs = new HashMap<>();

		private final Set<Integer> submitted = new HashSet<>();

		private final Set<Integer> released = new HashSet<>();

		private boolean ended;

		private Request(RequestClass requestClass, long firstArrival) {
			this(requestClass, firstArrival, StageChainSimulation.this.now, false);
		}

		private Request(RequestClass requestClass, long firstArrival, long startedAt, boolean repeated) {
			this.startedAt = startedAt;
			this.repeated = repeated;
			this.requestClass = requestClass;
			this.firstArrival = firstArrival;
			this.progress = new StageProgress(requestClass.stages(), requestClass.pieces());
			this.chain = new StageChain(requestClass.stages(), this.progress,
					(service) -> StageChainSimulation.this.service(service).limits);
		}

		private Outcomes outcomes() {
			return StageChainSimulation.this.outcomes.computeIfAbsent(this.requestClass.name(),
					(name) -> new Outcomes());
		}

		private double workFactor(int stage) {
			return this.requestClass.workFactors().getOrDefault(stage, 1.0);
		}

		private Service service(int stage) {
			return StageChainSimulation.this.service(this.requestClass.stages().get(stage).service());
		}

		private void start() {
			submitReady();
			for (int stage = 0; stage < this.requestClass.stages().size(); stage++) {
				if (!this.submitted.contains(stage) && this.progress.pieceCount(stage) > 0) {
					service(stage).queue.announce(ServingFixtures.ORIGIN, "request-" + System.identityHashCode(this),
							stage, this.progress.pieceCount(stage), this.requestClass.stages().get(stage).resultBytes(),
							StageChainSimulation.this.now + ANNOUNCEMENT_MILLIS);
				}
			}
		}

		private void submitReady() {
			for (int stage : this.progress.startReadyStages()) {
				this.submitted.add(stage);
				submit(stage);
			}
		}

		private void submit(int stage) {
			long id = StageChainSimulation.this.nextId++;
			List<String> inputs = this.progress.stageInputs(stage);
			RouteStage definition = this.requestClass.stages().get(stage);
			StageJob job = new StageJob(ServingFixtures.ORIGIN, id, "request-" + System.identityHashCode(this), stage,
					this.progress.missingPieces(stage), inputs.isEmpty() ? "key" : null, inputs,
					this.chain.hasLargeInputs(stage), definition.resultBytes(),
					this.startedAt + this.requestClass.objectiveMillis() - this.chain.remainingMillis(stage),
					this.startedAt + 4 * this.requestClass.objectiveMillis(), this.requestClass.priority(),
					ZonePreference.NONE);
			this.jobs.put(id, job);
			StageChainSimulation.this.requestsByJob.put(id, this);
			service(stage).queue.add(job, StageChainSimulation.this.now);
			service(stage).startBatches();
		}

		private void resubmit(String service) {
			for (StageJob job : List.copyOf(this.jobs.values())) {
				int stage = job.stage();
				boolean affected = this.requestClass.stages().get(stage).service().equals(service)
						&& !this.progress.missingPieces(stage).isEmpty();
				if (affected) {
					this.jobs.remove(job.jobId());
					StageChainSimulation.this.requestsByJob.remove(job.jobId());
					submit(stage);
				}
			}
		}

		private void onPiece(StageTask task, PieceResult result) {
			int stage = task.job().stage();
			if (result.failure() == PieceFailure.INPUT_GONE && !this.repeated) {
				repeat();
				return;
			}
			if (this.ended || result.handle() == null) {
				end();
				return;
			}
			this.progress.recordResult(stage, task.piece(), result);
			if (!this.progress.isStageComplete(stage)) {
				return;
			}
			this.requestClass.stages().get(stage).inputStages().forEach(this::release);
			submitReady();
			if (this.progress.isComplete()) {
				long firstEvent = this.requestClass.firstEventMillis();
				at(StageChainSimulation.this.now + firstEvent, this::answer);
			}
		}

		private void answer() {
			boolean timely = StageChainSimulation.this.now <= this.firstArrival + this.requestClass.objectiveMillis();
			outcomes().inTime += timely ? 1 : 0;
			outcomes().late += timely ? 0 : 1;
			end();
		}

		private void repeat() {
			end();
			new Request(this.requestClass, this.firstArrival, this.startedAt, true).start();
		}

		private void end() {
			this.ended = true;
			this.jobs.forEach((id, job) -> {
				StageChainSimulation.this.requestsByJob.remove(id);
				service(job.stage()).queue.cancel(ServingFixtures.ORIGIN, id);
			});
			IntStream.range(0, this.requestClass.stages().size()).forEach(this::release);
		}

		private void release(int stage) {
			if (this.released.add(stage)) {
				service(stage).release(this.progress.resultHandles(stage));
			}
		}

	}

}
