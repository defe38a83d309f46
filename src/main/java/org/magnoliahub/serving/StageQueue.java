package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;

/**
 * Queue that batches the pieces of all gateways for one stage service.
 * <p>
 * An endpoint processes one batch at a time, and the fixed cost of a batch is much higher
 * than the cost of a piece. A batch is therefore formed only when an endpoint is free,
 * from the pieces that are most urgent at that time, so that batches grow with the load.
 * Pieces of requests that can still meet their latency objective come first.
 */
public final class StageQueue {

	private static final int MAXIMUM_ATTEMPTS = 3;

	/** Ejection of an endpoint that has no free result capacity or rejected a batch. */
	private static final long FULL_EJECTION_MILLIS = 150;

	private final String service;

	private final EndpointDirectory directory;

	private final WindowedRetryBudget retryBudget;

	private final List<StageTask> queued = new ArrayList<>();

	private final Map<String, StageBatch> running = new HashMap<>();

	private final StoredResults storedResults = new StoredResults();

	private final CancelledJobs cancelled = new CancelledJobs();

	private final AnnouncedPieces announcedPieces = new AnnouncedPieces();

	private final StageCapacity capacity = new StageCapacity();

	private final StageLoadEstimator loadEstimator;

	private StageLimits limits;

	/**
	 * Creates an empty queue.
	 * @param service name of the stage service
	 * @param limits limits of the service
	 * @param directory directory of its endpoints
	 * @param retryBudget budget for retried pieces
	 */
	public StageQueue(String service, StageLimits limits, EndpointDirectory directory,
			WindowedRetryBudget retryBudget) {
		this.service = service;
		this.limits = limits;
		this.directory = directory;
		this.retryBudget = retryBudget;
		this.loadEstimator = new StageLoadEstimator(service, directory, this.announcedPieces, this.storedResults,
				this.capacity);
	}

	/**
	 * Returns the name of the stage service.
	 * @return name of the service
	 */
	public String service() {
		return this.service;
	}

	/**
	 * Replaces the limits of the service with those of a new configuration.
	 * @param newLimits the new limits
	 */
	public void setLimits(StageLimits newLimits) {
		this.limits = newLimits;
	}

	/**
	 * Queues the pieces of a job, and removes the announcement of its stage.
	 * @param job the job
	 * @param now monotonic time, in milliseconds
	 */
	public void add(StageJob job, long now) {
		this.announcedPieces.remove(job.origin(), job.requestId(), job.stage());
		for (int piece : job.pieces()) {
			this.queued.add(new StageTask(job, piece, 0, now, now));
			this.retryBudget.recordRequest(this.service, now);
		}
	}

	/**
	 * Cancels a job. Queued pieces are removed; pieces of running batches are marked as
	 * cancelled, and their results must be released when they arrive.
	 * @param origin submitter of the job
	 * @param jobId id of the job at its submitter
	 */
	public void cancel(JobOrigin origin, long jobId) {
		cancel((task) -> task.job().jobId() == jobId && task.job().origin().equals(origin));
	}

	/**
	 * Cancels all jobs and announcements of a submitter that has gone.
	 * @param origin the submitter
	 * @return number of its pieces that were queued or running
	 */
	public int cancelAll(JobOrigin origin) {
		this.announcedPieces.removeAll(origin);
		return cancel((task) -> task.job().origin().equals(origin));
	}

	private int cancel(Predicate<StageTask> isCancelledTask) {
		int queuedBefore = this.queued.size();
		this.queued.removeIf(isCancelledTask);
		List<StageTask> started = this.running.values()
			.stream()
			.flatMap((batch) -> batch.tasks().stream())
			.filter(isCancelledTask)
			.toList();
		started.forEach((task) -> this.cancelled.add(task.job().origin(), task.job().jobId()));
		return queuedBefore - this.queued.size() + started.size();
	}

	/**
	 * Returns whether the job of a running task was cancelled.
	 * @param task the task
	 * @return whether its result is no longer needed
	 */
	public boolean isCancelled(StageTask task) {
		return this.cancelled.contains(task);
	}

	/**
	 * Removes queued tasks that cannot be completed before their request expires, and
	 * those that may run only in evacuated zones.
	 * @param now monotonic time, in milliseconds
	 * @return the removed tasks
	 */
	public List<StageTask> removeExpired(long now) {
		if (this.queued.isEmpty()) {
			return List.of();
		}
		List<StageTask> expired = new ArrayList<>();
		double minimumMillis = this.limits.expectedMillis(1) + this.directory.pausedMillis(this.service, now);
		Map<AllowedZones, Boolean> evacuated = new HashMap<>();
		Iterator<StageTask> tasks = this.queued.iterator();
		while (tasks.hasNext()) {
			StageTask task = tasks.next();
			if (task.job().expiresAt() - now < minimumMillis || evacuated.computeIfAbsent(task.job().allowedZones(),
					(zones) -> this.directory.isEvacuated(this.service, zones, now))) {
				tasks.remove();
				expired.add(task);
			}
		}
		return expired;
	}

	/**
	 * Forms the next batch if a task is queued and an endpoint is free.
	 * @param now monotonic time, in milliseconds
	 * @return the batch, which counts as running until {@link #complete} or {@link #fail}
	 * is called for it
	 */
	public Optional<StageBatch> nextBatch(long now) {
		if (this.queued.isEmpty()) {
			return Optional.empty();
		}
		HealthyEndpoints healthy = HealthyEndpoints.of(this.directory.availableEndpoints(this.service, now), now);
		ZoneBacklog backlog = backlog(healthy, now);
		int waiting = this.queued.size();
		for (EndpointState endpoint : freeEndpoints(healthy, PieceOrder.mostUrgentZone(this.queued, now), now)) {
			String zone = endpoint.record().availabilityZone();
			boolean suitsAll = healthy.mayReceiveBatch(endpoint, waiting, this.limits.maximumBatchSize(), now);
			// Pieces with homes do not wait for faster endpoints elsewhere.
			Predicate<StageTask> eligible = (task) -> task.job().allowedZones().contains(zone)
					&& (suitsAll || task.job().allowedZones().isRestricted())
					&& backlog.mayRunIn(task.job(), zone, now);
			if (this.queued.stream().noneMatch(eligible)) {
				continue;
			}
			this.queued.sort(PieceOrder.inZone(zone, now));
			long freeBytes = freeBytes(endpoint, now);
			List<StageTask> tasks = takeTasks(freeBytes, eligible);
			if (!tasks.isEmpty()) {
				return Optional.of(startBatch(endpoint, tasks, freeBytes, now));
			}
			endpoint.eject(now, FULL_EJECTION_MILLIS);
		}
		return Optional.empty();
	}

	private ZoneBacklog backlog(HealthyEndpoints healthy, long now) {
		ZoneBacklog backlog = new ZoneBacklog(this.limits);
		for (EndpointState endpoint : healthy.endpoints()) {
			StageBatch batch = this.running.get(endpoint.record().id());
			backlog.addEndpoint(endpoint.record().availabilityZone(), (batch != null) ? batch.remainingMillis(now) : 0,
					freeBytes(endpoint, now));
		}
		this.queued.forEach((task) -> backlog.addWaitingPiece(task.job().zonePreference()));
		return backlog;
	}

	private StageBatch startBatch(EndpointState endpoint, List<StageTask> tasks, long freeBytes, long now) {
		double expected = this.limits.expectedMillis(tasks.size());
		StageBatch batch = new StageBatch(endpoint, tasks, expected, endpoint.beginCall(now, expected, 0), freeBytes);
		this.running.put(endpoint.record().id(), batch);
		return batch;
	}

	private List<StageTask> takeTasks(long freeBytes, Predicate<StageTask> eligible) {
		List<StageTask> tasks = new ArrayList<>();
		long bytes = freeBytes;
		Iterator<StageTask> candidates = this.queued.iterator();
		while (candidates.hasNext() && tasks.size() < this.limits.maximumBatchSize()) {
			StageTask task = candidates.next();
			if (task.job().resultBytes() > bytes || !eligible.test(task)) {
				continue;
			}
			bytes -= task.job().resultBytes();
			candidates.remove();
			tasks.add(task);
		}
		return tasks;
	}

	private List<EndpointState> freeEndpoints(HealthyEndpoints healthy, String zone, long now) {
		return healthy.endpoints()
			.stream()
			.filter((endpoint) -> !this.running.containsKey(endpoint.record().id()))
			.sorted(Comparator.comparingDouble((endpoint) -> HealthyEndpoints.cost(endpoint, zone, now)))
			.toList();
	}

	private long freeBytes(EndpointState endpoint, long now) {
		return this.limits.resultCapacityBytes() - this.storedResults.bytes(endpoint.record().id(), now);
	}

	/**
	 * Records the response to a batch. Pieces that can be retried are queued again.
	 * @param batch the batch
	 * @param results one result for each task, in the same order
	 * @param now monotonic time, in milliseconds
	 * @return the other pieces, with their results or failures
	 */
	public List<CompletedPiece> complete(StageBatch batch, List<PieceResult> results, long now) {
		removeRunning(batch);
		batch.endpointCall().recordFirstResponse(now);
		batch.endpointCall().end();
		batch.endpoint().recordSuccess(now);
		List<CompletedPiece> completed = new ArrayList<>();
		boolean hasCapacity = true;
		for (int index = 0; index < batch.tasks().size(); index++) {
			StageTask task = batch.tasks().get(index);
			PieceResult result = results.get(index);
			if (result.handle() != null) {
				storeResult(batch.endpoint(), result.handle(), task.job().resultBytes(), now);
			}
			PieceFailure failure = result.failure();
			hasCapacity &= failure != PieceFailure.NO_ROOM;
			if (!requeueIfRetryable(task, failure, now)) {
				completed.add(
						new CompletedPiece(task, result.withTimes(task.times(batch.endpointCall().sentMillis(), now))));
			}
		}
		if (!hasCapacity) {
			batch.endpoint().eject(now, FULL_EJECTION_MILLIS);
		}
		return completed;
	}

	/**
	 * Records that a batch got no response or was rejected. Pieces that can be retried
	 * are queued again.
	 * @param batch the batch
	 * @param rejected whether the endpoint rejected the batch because it is busy
	 * @param now monotonic time, in milliseconds
	 * @return the other pieces, which have failed
	 */
	public List<CompletedPiece> fail(StageBatch batch, boolean rejected, long now) {
		removeRunning(batch);
		batch.endpointCall().end();
		if (rejected) {
			batch.endpoint().eject(now, FULL_EJECTION_MILLIS);
		}
		else {
			batch.endpoint().recordFailure(now, true);
		}
		List<CompletedPiece> failed = new ArrayList<>();
		for (StageTask task : batch.tasks()) {
			if (!requeueWithinBudget(task, now)) {
				failed.add(new CompletedPiece(task, PieceResult.failed(PieceFailure.FAILED)));
			}
		}
		return failed;
	}

	/**
	 * Records that a batch was not sent because the zone of its endpoint is evacuated.
	 * Its pieces are queued again, which is no retry and no failure of the endpoint.
	 * @param batch the batch
	 * @param now monotonic time, in milliseconds
	 * @return the cancelled pieces, which have failed
	 */
	public List<CompletedPiece> withdraw(StageBatch batch, long now) {
		removeRunning(batch);
		batch.endpointCall().end();
		List<CompletedPiece> cancelledPieces = new ArrayList<>();
		for (StageTask task : batch.tasks()) {
			if (isCancelled(task)) {
				cancelledPieces.add(new CompletedPiece(task, PieceResult.failed(PieceFailure.FAILED)));
				continue;
			}
			this.queued.add(task.requeued(now));
		}
		return cancelledPieces;
	}

	private void removeRunning(StageBatch batch) {
		this.running.remove(batch.endpoint().record().id(), batch);
	}

	// An endpoint without result capacity does not process a piece, so the piece is
	// queued again, without an upper limit, until its request expires. The ejection of
	// the endpoint bounds the rate of these attempts.
	private boolean requeueIfRetryable(StageTask task, @Nullable PieceFailure failure, long now) {
		if (failure == PieceFailure.NO_ROOM && !isCancelled(task)) {
			this.queued.add(task.requeued(now));
			return true;
		}
		return failure == PieceFailure.FAILED && requeueWithinBudget(task, now);
	}

	private boolean requeueWithinBudget(StageTask task, long now) {
		if (isCancelled(task) || task.attempts() + 1 >= MAXIMUM_ATTEMPTS
				|| !this.retryBudget.tryAcquire(this.service, now)) {
			return false;
		}
		this.queued.add(task.nextAttempt(now));
		return true;
	}

	private void storeResult(EndpointState endpoint, String handle, long bytes, long now) {
		this.storedResults.add(endpoint.record().id(), handle,
				new StoredResults.StoredResult(bytes, now, now + this.limits.resultLifetimeMillis()));
	}

	/**
	 * Records that results were released.
	 * @param handles handles of the results
	 * @param now monotonic time, in milliseconds
	 */
	public void releaseResults(List<String> handles, long now) {
		for (StoredResults.StoredResult result : this.storedResults.remove(handles)) {
			this.capacity.observeStorageTime(now - result.storedAt());
			if (this.limits.isLargeResult(result.bytes())) {
				this.capacity.recordStorageTime(now - result.storedAt());
			}
		}
	}

	/**
	 * Returns how long results were stored on average before they were released.
	 * @return milliseconds
	 */
	public long meanStorageMillis() {
		return (long) this.capacity.observedStorageMillis();
	}

	/**
	 * Removes the marks of cancelled jobs that have no running batch.
	 */
	public void purgeCancelled() {
		this.cancelled.retainRunning(this.running.values());
	}

	/**
	 * Announces pieces that will be submitted when earlier stages of their request are
	 * complete. They count as queued until they are submitted.
	 * @param origin submitter of the pieces
	 * @param requestId id that the caller assigned to the request
	 * @param stage index of the stage
	 * @param pieces number of pieces; zero withdraws an earlier announcement
	 * @param resultBytes approximate size of one result, in bytes
	 * @param expiresAt monotonic time at which the announcement expires, in milliseconds
	 */
	public void announce(JobOrigin origin, String requestId, int stage, int pieces, long resultBytes, long expiresAt) {
		if (pieces == 0) {
			this.announcedPieces.remove(origin, requestId, stage);
			return;
		}
		this.announcedPieces.add(origin, requestId, stage, pieces, pieces * resultBytes, expiresAt);
	}

	/**
	 * Returns the time that the endpoints need for the queued and announced pieces.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds; if there is no healthy endpoint, the time until a requested
	 * pause ends, or a large value if pieces are queued
	 */
	public double expectedWaitMillis(long now) {
		return this.loadEstimator.expectedWaitMillis(contents(), this.limits, now);
	}

	private StageLoadEstimator.Contents contents() {
		long bytes = 0;
		for (StageTask task : this.queued) {
			bytes += task.job().resultBytes();
		}
		for (StageBatch batch : this.running.values()) {
			bytes += batch.resultBytes();
		}
		return new StageLoadEstimator.Contents(this.queued.size(), bytes);
	}

	/**
	 * Returns the load of this queue, which is reported to other gateways.
	 * @param now monotonic time, in milliseconds
	 * @return the load
	 */
	public StageLoad load(long now) {
		return this.loadEstimator.load(contents(), this.limits, now);
	}

	/**
	 * Returns the number of queued tasks.
	 * @return number of tasks
	 */
	public int size() {
		return this.queued.size();
	}

	/**
	 * Piece with its final result.
	 *
	 * @param task task of the piece
	 * @param result result or failure of the piece
	 */
	public record CompletedPiece(StageTask task, PieceResult result) {
	}

}
