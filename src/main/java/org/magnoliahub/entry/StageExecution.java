package org.magnoliahub.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.RouteStage;
import org.magnoliahub.serving.ServiceDefinition;
import org.magnoliahub.serving.StageJob;
import org.magnoliahub.serving.StageLimits;
import org.magnoliahub.serving.StageProgress;
import org.magnoliahub.serving.ZonePreference;

/**
 * The stages of one request: submits pieces as their inputs become ready, and gives
 * results up as soon as nothing needs them.
 */
final class StageExecution implements StageCoordinator.PieceListener {

	/** Time that the request itself takes to its first event, for the start of stages. */
	private static final long FIRST_EVENT_MILLIS = 250;

	/** Time within which the pieces of later stages usually come. */
	private static final long EXPECTED_WITHIN_MILLIS = 2_500;

	/** Results from this size on are made near the engine that needs them. */
	private static final long LARGE_RESULT_BYTES = 100_000;

	private final EntryContext context;

	private final StageCoordinator coordinator;

	private final Route route;

	private final CallerRequest request;

	private final long objectiveAt;

	private final long expiresAt;

	private final Listener listener;

	private final String engineZone;

	private final StageProgress progress;

	private final Map<Integer, Long> submissions = new HashMap<>();

	private final Map<Integer, Long> submittedMillis = new HashMap<>();

	private boolean over;

	private boolean released;

	StageExecution(EntryContext context, StageCoordinator coordinator, Route route, CallerRequest request,
			long arrivedMillis, long expiresAt, String engineZone, Listener listener) {
		this.context = context;
		this.coordinator = coordinator;
		this.route = route;
		this.request = request;
		this.objectiveAt = arrivedMillis + route.latencyObjectiveMillis();
		this.expiresAt = expiresAt;
		this.listener = listener;
		this.engineZone = engineZone;
		this.progress = new StageProgress(route.stages(), request.pieces());
	}

	void start() {
		submitReady();
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (isAwaited(stage)) {
				announce(stage, this.progress.pieceCount(stage));
			}
		}
	}

	private boolean isStarted() {
		return !this.submittedMillis.isEmpty();
	}

	private boolean isAwaited(int stage) {
		return this.progress.pieceCount(stage) > 0 && !this.submittedMillis.containsKey(stage);
	}

	private void announce(int stage, int pieces) {
		RouteStage definition = this.route.stages().get(stage);
		this.coordinator.expect(new PeerMessage.Announce(definition.service(), this.request.requestId(), stage, pieces,
				definition.resultBytes(), EXPECTED_WITHIN_MILLIS));
	}

	/**
	 * Returns how long the pieces of the longest chain would wait if they were submitted
	 * now.
	 * @return milliseconds
	 */
	long expectedWaitMillis() {
		double wait = 0;
		double begun = 0;
		for (int stage = firstOfChain(); stage >= 0; stage = follower(stage)) {
			String service = this.route.stages().get(stage).service();
			double queued = Math.max(0, this.coordinator.load(service).waitMillis(isLarge(stage)) - begun);
			wait += queued;
			begun += queued + callMillis(stage);
		}
		return (long) wait;
	}

	/**
	 * Returns how long a stage has no endpoint because all of them asked for a pause.
	 * @return milliseconds until all stages have an endpoint, zero if they do
	 */
	long pausedMillis() {
		long longest = 0;
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (this.progress.pieceCount(stage) > 0) {
				String service = this.route.stages().get(stage).service();
				longest = Math.max(longest, this.coordinator.load(service).pausedMillis());
			}
		}
		return longest;
	}

	/**
	 * Returns the least time from the start of the longest chain to the first event.
	 * @return milliseconds
	 */
	long chainMillis() {
		double millis = FIRST_EVENT_MILLIS;
		for (int stage = firstOfChain(); stage >= 0; stage = follower(stage)) {
			millis += callMillis(stage);
		}
		return (long) millis;
	}

	/**
	 * Returns the time of the longest chain if each of its calls has only the pieces of
	 * this request.
	 * @return milliseconds to the end of the last stage
	 */
	long leastMillis() {
		double millis = 0;
		for (int stage = firstOfChain(); stage >= 0; stage = follower(stage)) {
			StageLimits pool = pool(stage);
			millis += (pool != null)
					? pool.expectedMillis(Math.min(pool.maximumBatchSize(), this.progress.pieceCount(stage))) : 0;
		}
		return (long) millis;
	}

	private int firstOfChain() {
		int first = -1;
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (this.progress.pieceCount(stage) > 0
					&& (first < 0 || this.progress.downstreamDepth(stage) > this.progress.downstreamDepth(first))) {
				first = stage;
			}
		}
		return first;
	}

	List<String> requestInputs() {
		return this.progress.requestInputs();
	}

	Map<String, Long> inputZones() {
		return this.progress.requestInputBytesByZone();
	}

	boolean isReleased() {
		return this.released;
	}

	private void submitReady() {
		for (int stage : this.progress.startReadyStages()) {
			submit(stage);
		}
	}

	private void submit(int stage) {
		RouteStage definition = this.route.stages().get(stage);
		List<String> inputs = this.progress.stageInputs(stage);
		StageJob work = new StageJob("", 0, this.request.requestId(), stage, this.progress.missingPieces(stage),
				inputs.isEmpty() ? this.request.pieceKey() : null, inputs, definition.resultBytes(), startBy(stage),
				this.expiresAt, this.route.priority(), preference(stage, inputs.isEmpty()));
		this.submittedMillis.put(stage, this.context.now());
		this.submissions.put(stage, this.coordinator.submit(definition.service(), work, this));
	}

	private ZonePreference preference(int stage, boolean withoutInputs) {
		if (!withoutInputs) {
			return this.progress.preferredInputZone(stage);
		}
		long bytes = this.route.stages().get(stage).resultBytes();
		return (bytes >= LARGE_RESULT_BYTES && isLast(stage)) ? new ZonePreference(this.engineZone, bytes)
				: ZonePreference.NONE;
	}

	private long startBy(int stage) {
		double rest = FIRST_EVENT_MILLIS + callMillis(stage);
		int next = stage;
		while (this.progress.downstreamDepth(next) > 0) {
			next = follower(next);
			rest += callMillis(next);
		}
		return this.objectiveAt - (long) rest;
	}

	private int follower(int stage) {
		int best = -1;
		for (int next = 0; next < this.route.stages().size(); next++) {
			boolean follows = this.progress.pieceCount(next) > 0
					&& this.route.stages().get(next).inputStages().contains(stage);
			if (follows && (best < 0 || this.progress.downstreamDepth(next) > this.progress.downstreamDepth(best))) {
				best = next;
			}
		}
		return best;
	}

	private @Nullable StageLimits pool(int stage) {
		String service = this.route.stages().get(stage).service();
		return this.context.configuration()
			.flatMap((configuration) -> configuration.service(service))
			.map(ServiceDefinition::stageLimits)
			.orElse(null);
	}

	private boolean isLarge(int stage) {
		StageLimits pool = pool(stage);
		return pool != null && pool.isLargeResult(this.route.stages().get(stage).resultBytes());
	}

	private double callMillis(int stage) {
		StageLimits pool = pool(stage);
		return (pool != null) ? pool.expectedMillis(pool.maximumBatchSize()) : 0;
	}

	@Override
	public void onPiece(int stage, int piece, PieceResult result) {
		if (this.over) {
			return;
		}
		if (result.handle() == null) {
			failed(stage, result);
			return;
		}
		this.progress.recordResult(stage, piece, result);
		if (!this.progress.isStageComplete(stage)) {
			return;
		}
		this.submissions.remove(stage);
		stageEnded(stage, result);
		releaseInputs(stage);
		submitReady();
		if (this.progress.isComplete()) {
			this.listener.onComplete();
		}
	}

	private void stageEnded(int stage, PieceResult last) {
		this.listener.onStageEnd(this.route.stages().get(stage).service(), this.progress.pieceCount(stage),
				this.submittedMillis.getOrDefault(stage, this.context.now()), last);
	}

	private void failed(int stage, PieceResult result) {
		PieceFailure failure = (result.failure() != null) ? result.failure() : PieceFailure.FAILED;
		stageEnded(stage, result);
		this.context.log()
			.event(EntryEvent.STAGE_FAILED)
			.field("id", this.request.requestId())
			.field("stage", stage)
			.field("reason", failure)
			.field("age_ms", this.context.now() - (this.objectiveAt - this.route.latencyObjectiveMillis()))
			.write();
		if (failure == PieceFailure.INPUT_GONE) {
			this.listener.onInputGone();
			return;
		}
		this.listener.onFailed("stage_" + failure.name().toLowerCase(Locale.ROOT));
	}

	private void releaseInputs(int stage) {
		for (int source : this.route.stages().get(stage).inputStages()) {
			if (areFollowersDone(source)) {
				free(source);
			}
		}
	}

	private boolean areFollowersDone(int source) {
		for (int next = 0; next < this.route.stages().size(); next++) {
			if (this.route.stages().get(next).inputStages().contains(source) && !this.progress.isStageComplete(next)) {
				return false;
			}
		}
		return true;
	}

	private void free(int stage) {
		this.coordinator.free(this.route.stages().get(stage).service(), this.progress.resultHandles(stage));
	}

	/**
	 * Gives up what the request itself took as input, once it has begun to run.
	 */
	void release() {
		if (this.released) {
			return;
		}
		this.released = true;
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (isLast(stage)) {
				free(stage);
			}
		}
	}

	private boolean isLast(int stage) {
		return this.route.stages().stream().noneMatch((other) -> other.inputStages().contains(stage));
	}

	/**
	 * Gives up all pieces and results.
	 */
	void cancel() {
		if (this.over) {
			return;
		}
		this.over = true;
		this.submissions.values().forEach(this.coordinator::cancel);
		this.submissions.clear();
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (isStarted() && isAwaited(stage)) {
				announce(stage, 0);
			}
			boolean freedBefore = isLast(stage) ? this.released : areFollowersDone(stage);
			if (!freedBefore) {
				free(stage);
			}
		}
	}

	/**
	 * Hears about the stages of a request.
	 */
	interface Listener {

		/**
		 * Called when a stage ended.
		 * @param service its service
		 * @param pieces number of its pieces
		 * @param startedMillis monotonic time of its submission
		 * @param last its last piece; the stage failed if that has no result
		 */
		void onStageEnd(String service, int pieces, long startedMillis, PieceResult last);

		/**
		 * Called when all stages are done.
		 */
		void onComplete();

		/**
		 * Called when a stage has no result.
		 * @param reason what happened
		 */
		void onFailed(String reason);

		/**
		 * Called when a result is gone that another stage needs.
		 */
		void onInputGone();

	}

}
