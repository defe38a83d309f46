package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Forms the calls of one stage service from the pieces of all gateways.
 * <p>
 * An endpoint works on one call at a time, and a call costs much more than a piece. So a
 * call is formed only when an endpoint is free, from the pieces that are most urgent
 * then; under load the calls fill by themselves. Pieces of requests that can still meet
 * their latency objective go first.
 */
public final class StageQueue {

	/** How much one rank of priority counts against urgency. */
	private static final long PRIORITY_MILLIS = 300;

	/** How much moving inputs or results between zones counts against urgency. */
	private static final long OTHER_ZONE_MILLIS = 250;

	/** Puts pieces that cannot be in time behind all others. */
	private static final long LATE_MILLIS = 1_000_000;

	/** What another zone counts when several endpoints are free, as a factor of speed. */
	private static final double OTHER_ZONE_FACTOR = 0.35;

	/** Wait that stands for a service without a usable endpoint. */
	private static final long NO_ENDPOINT_MILLIS = 60_000;

	private static final int MAXIMUM_TRIES = 3;

	/** Pause of an endpoint that has no room for results or is full with other calls. */
	private static final long FULL_PAUSE_MILLIS = 150;

	private final String service;

	private final EndpointDirectory directory;

	private final WindowedRetryBudget budget;

	private final List<StageTask> waiting = new ArrayList<>();

	private final Map<String, StageBatch> running = new HashMap<>();

	private final StoredResults held = new StoredResults();

	private final Set<GroupKey> cancelled = new HashSet<>();

	private final AnnouncedPieces announced = new AnnouncedPieces();

	private final StageCapacity capacity = new StageCapacity();

	private StageLimits pool;

	/**
	 * Creates an empty queue.
	 * @param service the service
	 * @param pool its limits
	 * @param directory the endpoints
	 * @param budget limits pieces that are sent again
	 */
	public StageQueue(String service, StageLimits pool, EndpointDirectory directory, WindowedRetryBudget budget) {
		this.service = service;
		this.pool = pool;
		this.directory = directory;
		this.budget = budget;
	}

	/**
	 * Returns the service.
	 * @return its name
	 */
	public String service() {
		return this.service;
	}

	/**
	 * Sets the limits of a newer configuration.
	 * @param newer the limits
	 */
	public void setLimits(StageLimits newer) {
		this.pool = newer;
	}

	/**
	 * Adds pieces.
	 * @param work the submission
	 * @param now monotonic time, in milliseconds
	 */
	public void add(StageJob work, long now) {
		this.announced.remove(work.requestId(), work.stage());
		for (int piece : work.pieces()) {
			this.waiting.add(new StageTask(work, piece, 0, now, now));
			this.budget.recordRequest(this.service, now);
		}
	}

	/**
	 * Drops the pieces of a submission that have not started; the results of those that
	 * have are to be freed when they arrive.
	 * @param origin name of the gateway
	 * @param group number of the submission
	 */
	public void cancel(String origin, long group) {
		GroupKey key = new GroupKey(origin, group);
		this.waiting.removeIf((task) -> GroupKey.of(task).equals(key));
		for (StageBatch call : this.running.values()) {
			if (call.tasks().stream().anyMatch((task) -> GroupKey.of(task).equals(key))) {
				this.cancelled.add(key);
			}
		}
	}

	/**
	 * Returns whether the submission of a piece was cancelled.
	 * @param task the piece
	 * @return whether its result is no longer wanted
	 */
	public boolean isCancelled(StageTask task) {
		return this.cancelled.contains(GroupKey.of(task));
	}

	/**
	 * Removes pieces whose request ends before they could be done.
	 * @param now monotonic time, in milliseconds
	 * @return the removed pieces
	 */
	public List<StageTask> removeExpired(long now) {
		if (this.waiting.isEmpty()) {
			return List.of();
		}
		List<StageTask> expired = new ArrayList<>();
		double least = this.pool.expectedMillis(1) + pausedMillis(now);
		Iterator<StageTask> tasks = this.waiting.iterator();
		while (tasks.hasNext()) {
			StageTask task = tasks.next();
			if (task.job().expiresAt() - now < least) {
				tasks.remove();
				expired.add(task);
			}
		}
		return expired;
	}

	/**
	 * Forms the next call if an endpoint is free and pieces wait.
	 * @param now monotonic time, in milliseconds
	 * @return the call, which counts as running until it is completed or failed
	 */
	public Optional<StageBatch> nextBatch(long now) {
		if (this.waiting.isEmpty()) {
			return Optional.empty();
		}
		HealthyEndpoints places = HealthyEndpoints.of(this.directory.availableEndpoints(this.service, now), now);
		ZoneBacklog backlog = backlog(places, now);
		for (EndpointState endpoint : freeEndpoints(places, mostUrgentZone(now), now)) {
			String zone = endpoint.record().availabilityZone();
			Predicate<StageTask> eligible = (task) -> backlog.mayGo(task.job(), zone, now);
			if (this.waiting.stream().noneMatch(eligible)) {
				continue;
			}
			this.waiting.sort(Comparator.comparingLong((task) -> urgency(task.job(), zone, now)));
			List<StageTask> tasks = take(freeBytes(endpoint, now), eligible);
			if (!tasks.isEmpty()) {
				return Optional.of(begin(endpoint, tasks, now));
			}
			endpoint.eject(now, FULL_PAUSE_MILLIS);
		}
		return Optional.empty();
	}

	private ZoneBacklog backlog(HealthyEndpoints places, long now) {
		ZoneBacklog backlog = new ZoneBacklog(this.pool);
		for (EndpointState endpoint : places.sound()) {
			StageBatch call = this.running.get(endpoint.record().id());
			backlog.endpoint(endpoint.record().availabilityZone(), (call != null) ? call.remainingMillis(now) : 0,
					freeBytes(endpoint, now));
		}
		this.waiting.forEach((task) -> backlog.waiting(task.job().preference()));
		return backlog;
	}

	private StageBatch begin(EndpointState endpoint, List<StageTask> tasks, long now) {
		double expected = this.pool.expectedMillis(tasks.size());
		StageBatch call = new StageBatch(endpoint, tasks, expected, endpoint.beginCall(now, expected, 0));
		this.running.put(endpoint.record().id(), call);
		return call;
	}

	private String mostUrgentZone(long now) {
		return this.waiting.stream()
			.min(Comparator.comparingLong((task) -> urgency(task.job(), task.job().preference().zone(), now)))
			.map((task) -> task.job().preference().zone())
			.orElse("");
	}

	private List<StageTask> take(long freeBytes, Predicate<StageTask> eligible) {
		List<StageTask> tasks = new ArrayList<>();
		long bytes = freeBytes;
		Iterator<StageTask> candidates = this.waiting.iterator();
		while (candidates.hasNext() && tasks.size() < this.pool.maximumBatchSize()) {
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

	private static long urgency(StageJob work, String zone, long now) {
		long key = work.startDeadline() + PRIORITY_MILLIS * work.priority();
		if (work.preference().isOtherZone(zone)) {
			key += OTHER_ZONE_MILLIS;
		}
		// Inputs hold room at their makers and expire, so pieces that have inputs are
		// never put behind others for being late.
		if (work.inputs().isEmpty() && work.startDeadline() < now) {
			key += LATE_MILLIS;
		}
		return key;
	}

	private List<EndpointState> freeEndpoints(HealthyEndpoints places, String zone, long now) {
		return places.sound()
			.stream()
			.filter((endpoint) -> !this.running.containsKey(endpoint.record().id()))
			.filter((endpoint) -> places.isWanted(endpoint, this.waiting.size(), this.pool.maximumBatchSize(), now))
			.sorted(Comparator.comparingDouble((endpoint) -> cost(endpoint, zone, now)))
			.toList();
	}

	private static double cost(EndpointState endpoint, String zone, long now) {
		boolean other = !zone.isEmpty() && !zone.equals(endpoint.record().availabilityZone());
		return endpoint.speedFactor(now) / Math.max(0.05, 1 - endpoint.failureShare(now))
				+ (other ? OTHER_ZONE_FACTOR : 0);
	}

	private long freeBytes(EndpointState endpoint, long now) {
		return this.pool.resultCapacityBytes() - this.held.bytes(endpoint.record().id(), now);
	}

	/**
	 * Notes the answer of a call.
	 * @param call the call
	 * @param results a result for each of its pieces
	 * @param now monotonic time, in milliseconds
	 * @return pieces that are done, with their results; the others wait again
	 */
	public List<CompletedPiece> complete(StageBatch call, List<PieceResult> results, long now) {
		end(call);
		call.endpointCall().recordFirstResponse(now);
		call.endpointCall().end();
		call.endpoint().recordSuccess(now);
		List<CompletedPiece> done = new ArrayList<>();
		boolean room = true;
		for (int index = 0; index < call.tasks().size(); index++) {
			StageTask task = call.tasks().get(index);
			PieceResult result = results.get(index);
			if (result.handle() != null) {
				store(call.endpoint(), result.handle(), task.job().resultBytes(), now);
			}
			PieceFailure failure = result.failure();
			room &= failure != PieceFailure.NO_ROOM;
			if (!isAgain(task, failure, now)) {
				done.add(new CompletedPiece(task, result.with(task.times(call.endpointCall().sentMillis(), now))));
			}
		}
		if (!room) {
			call.endpoint().eject(now, FULL_PAUSE_MILLIS);
		}
		return done;
	}

	/**
	 * Notes that a call has no answer, or that the endpoint refused it.
	 * @param call the call
	 * @param refused whether the endpoint is full with other calls
	 * @param now monotonic time, in milliseconds
	 * @return pieces that are given up; the others wait again
	 */
	public List<CompletedPiece> fail(StageBatch call, boolean refused, long now) {
		end(call);
		call.endpointCall().end();
		if (refused) {
			call.endpoint().eject(now, FULL_PAUSE_MILLIS);
		}
		else {
			call.endpoint().recordFailure(now, true);
		}
		List<CompletedPiece> givenUp = new ArrayList<>();
		for (StageTask task : call.tasks()) {
			if (!retry(task, now)) {
				givenUp.add(new CompletedPiece(task, PieceResult.failed(PieceFailure.FAILED)));
			}
		}
		return givenUp;
	}

	private void end(StageBatch call) {
		this.running.remove(call.endpoint().record().id(), call);
	}

	// An endpoint does no work for a piece without room, so the piece waits for room as
	// long as its request does; the pause of the endpoint bounds how often it is asked.
	private boolean isAgain(StageTask task, @Nullable PieceFailure failure, long now) {
		if (failure == PieceFailure.NO_ROOM && !isCancelled(task)) {
			this.waiting.add(task.withoutRoom(now));
			return true;
		}
		return failure == PieceFailure.FAILED && retry(task, now);
	}

	private boolean retry(StageTask task, long now) {
		if (isCancelled(task) || task.attempts() + 1 >= MAXIMUM_TRIES || !this.budget.tryAcquire(this.service, now)) {
			return false;
		}
		this.waiting.add(task.again(now));
		return true;
	}

	private void store(EndpointState endpoint, String handle, long bytes, long now) {
		this.held.add(endpoint.record().id(), handle,
				new StoredResults.StoredResult(bytes, now, now + this.pool.resultLifetimeMillis()));
	}

	/**
	 * Notes that results were given up.
	 * @param handles their handles
	 * @param now monotonic time, in milliseconds
	 */
	public void releaseResults(List<String> handles, long now) {
		for (StoredResults.StoredResult result : this.held.remove(handles)) {
			if (this.pool.isLargeResult(result.bytes())) {
				this.capacity.held(now - result.storedAt());
			}
		}
	}

	/**
	 * Forgets cancelled submissions that have no running call.
	 */
	public void purgeCancelled() {
		Set<GroupKey> live = new HashSet<>();
		for (StageBatch call : this.running.values()) {
			call.tasks().forEach((task) -> live.add(GroupKey.of(task)));
		}
		this.cancelled.retainAll(live);
	}

	/**
	 * Notes pieces that will come when earlier stages of their request are done.
	 * @param requestId the caller's id of the request
	 * @param stage index of the stage
	 * @param pieces number of pieces; zero takes an earlier announcement back
	 * @param resultBytes approximate size of one result, in bytes
	 * @param until monotonic time until which they are expected, in milliseconds
	 */
	public void announce(String requestId, int stage, int pieces, long resultBytes, long until) {
		if (pieces == 0) {
			this.announced.remove(requestId, stage);
			return;
		}
		this.announced.add(requestId, stage, pieces, pieces * resultBytes, until);
	}

	/**
	 * Returns how long the pieces that wait or are expected keep the endpoints busy.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, very large if no endpoint is usable
	 */
	public double expectedWaitMillis(long now) {
		this.announced.removeLapsed(now);
		return isIdle() ? pausedMillis(now) : expectedWaitMillis(sound(now), now);
	}

	private double expectedWaitMillis(List<EndpointState> sound, long now) {
		if (sound.isEmpty()) {
			long unknown = this.waiting.isEmpty() ? 0 : NO_ENDPOINT_MILLIS;
			long paused = pausedMillis(now);
			return (paused > 0) ? paused : unknown;
		}
		int pieces = this.waiting.size() + this.announced.pieces();
		return pieces / StageCapacity.piecesPerMilli(sound, this.pool, now);
	}

	private boolean isIdle() {
		return this.waiting.isEmpty() && this.announced.isEmpty();
	}

	private long pausedMillis(long now) {
		return this.directory.pausedMillis(this.service, now);
	}

	private List<EndpointState> sound(long now) {
		return HealthyEndpoints.sound(this.directory.availableEndpoints(this.service, now), now);
	}

	private double roomWaitMillis(List<EndpointState> sound, long now) {
		if (sound.isEmpty()) {
			return 0;
		}
		long bytes = this.announced.bytes();
		for (StageTask task : this.waiting) {
			bytes += task.job().resultBytes();
		}
		for (StageBatch call : this.running.values()) {
			bytes += call.resultBytes();
		}
		for (EndpointState endpoint : sound) {
			bytes += this.held.bytes(endpoint.record().id(), now);
		}
		return this.capacity.roomWaitMillis(sound.size(), this.pool, bytes);
	}

	/**
	 * Returns what other gateways are told of this queue.
	 * @param now monotonic time, in milliseconds
	 * @return its state
	 */
	public StageLoad load(long now) {
		this.announced.removeLapsed(now);
		long paused = pausedMillis(now);
		if (isIdle()) {
			return new StageLoad(paused, 0, paused);
		}
		List<EndpointState> sound = sound(now);
		return new StageLoad((long) expectedWaitMillis(sound, now), (long) roomWaitMillis(sound, now), paused);
	}

	/**
	 * Returns the number of pieces that wait.
	 * @return pieces
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * A piece that is done.
	 *
	 * @param task the piece
	 * @param result its result
	 */
	public record CompletedPiece(StageTask task, PieceResult result) {
	}

	private record GroupKey(String origin, long group) {

		private static GroupKey of(StageTask task) {
			return new GroupKey(task.job().origin(), task.job().jobId());
		}

	}

}
