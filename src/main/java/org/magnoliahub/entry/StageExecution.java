package org.magnoliahub.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.JobOrigin;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.RouteStage;
import org.magnoliahub.serving.ServiceDefinition;
import org.magnoliahub.serving.StageChain;
import org.magnoliahub.serving.StageJob;
import org.magnoliahub.serving.StageLimits;
import org.magnoliahub.serving.StageProgress;
import org.magnoliahub.serving.ZonePreference;

/**
 * Executes the stages of one request: submits the pieces of a stage when their inputs are
 * available, and releases stored results as soon as nothing needs them.
 */
final class StageExecution implements StageCoordinator.PieceListener {

	/** Time after which the announcement of pieces that were not submitted expires. */
	private static final long ANNOUNCEMENT_LIFETIME_MILLIS = 2_500;

	/**
	 * Results of at least this size are preferably produced in the zone of the engine.
	 */
	private static final long LARGE_RESULT_BYTES = 100_000;

	private final EntryContext context;

	private final StageCoordinator coordinator;

	private final Route route;

	private final CallerRequest request;

	private final long latencyDeadlineMillis;

	private final long expiresAt;

	private final Listener listener;

	private final String engineZone;

	private final AllowedZones allowedZones;

	private final StageProgress stageProgress;

	private final StageChain chain;

	private final Map<Integer, Long> jobIds = new HashMap<>();

	private final Map<Integer, Long> submittedMillis = new HashMap<>();

	private boolean cancelled;

	private boolean requestInputsReleased;

	StageExecution(EntryContext context, StageCoordinator coordinator, Route route, CallerRequest request,
			long arrivedMillis, long expiresAt, String engineZone, AllowedZones allowedZones, Listener listener) {
		this.context = context;
		this.coordinator = coordinator;
		this.route = route;
		this.request = request;
		this.latencyDeadlineMillis = arrivedMillis + route.latencyObjectiveMillis();
		this.expiresAt = expiresAt;
		this.listener = listener;
		this.engineZone = engineZone;
		this.allowedZones = allowedZones;
		this.stageProgress = new StageProgress(route.stages(), request.pieces());
		this.chain = new StageChain(route.stages(), this.stageProgress, this::stageLimits);
	}

	void start() {
		submitReady();
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (isUnsubmitted(stage)) {
				announce(stage, this.stageProgress.pieceCount(stage));
			}
		}
	}

	/**
	 * Returns why a stage that is not complete must not run at any endpoint.
	 * @return the reason to report, or {@code null} if each stage may run
	 */
	@Nullable String placementRefusal() {
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			String reason = RefusalReason.ofPlacement(this.context.directory(),
					this.route.stages().get(stage).service(), this.allowedZones, this.context.now());
			if (reason != null && !this.stageProgress.isStageComplete(stage)) {
				return reason;
			}
		}
		return null;
	}

	private boolean isStarted() {
		return !this.submittedMillis.isEmpty();
	}

	private boolean isUnsubmitted(int stage) {
		return this.stageProgress.pieceCount(stage) > 0 && !this.submittedMillis.containsKey(stage);
	}

	private void announce(int stage, int pieces) {
		RouteStage definition = this.route.stages().get(stage);
		this.coordinator.announce(new PeerMessage.Announce(definition.service(), this.request.requestId(), stage,
				pieces, definition.resultBytes(), ANNOUNCEMENT_LIFETIME_MILLIS));
	}

	/**
	 * Returns the expected queueing time of the longest chain of stages if its pieces
	 * were submitted now.
	 * @return the time in milliseconds
	 */
	long expectedWaitMillis() {
		return this.chain.expectedWaitMillis(this.coordinator::load);
	}

	/**
	 * Returns how long a stage has no endpoint because all of them requested a pause.
	 * @return the time in milliseconds until every stage has an endpoint, zero if each
	 * has one
	 */
	long pausedMillis() {
		long longest = 0;
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (this.stageProgress.pieceCount(stage) > 0) {
				String service = this.route.stages().get(stage).service();
				longest = Math.max(longest, this.coordinator.load(service).pausedMillis());
			}
		}
		return longest;
	}

	/**
	 * Returns the time from the start of the longest chain of stages to the first event
	 * of the response, with full batches and without queueing.
	 * @return the time in milliseconds
	 */
	long chainMillis() {
		return this.chain.fullBatchesMillis();
	}

	/**
	 * Returns the execution time of the longest chain of stages if each batch has only
	 * the pieces of this request.
	 * @return the time in milliseconds to the end of the last stage
	 */
	long minimumChainMillis() {
		return this.chain.minimumMillis();
	}

	List<String> requestInputs() {
		return this.stageProgress.requestInputs();
	}

	Map<String, Long> inputBytesByZone() {
		return this.stageProgress.requestInputBytesByZone();
	}

	boolean areRequestInputsReleased() {
		return this.requestInputsReleased || this.cancelled;
	}

	private void submitReady() {
		for (int stage : this.stageProgress.startReadyStages()) {
			submit(stage);
		}
	}

	private void submit(int stage) {
		RouteStage definition = this.route.stages().get(stage);
		List<String> inputs = this.stageProgress.stageInputs(stage);
		StageJob job = new StageJob(JobOrigin.NONE, 0, this.request.requestId(), stage,
				this.stageProgress.missingPieces(stage), inputs.isEmpty() ? this.request.pieceKey() : null, inputs,
				this.chain.hasLargeInputs(stage), definition.resultBytes(),
				this.latencyDeadlineMillis - this.chain.remainingMillis(stage), this.expiresAt, this.route.priority(),
				zonePreference(stage, inputs.isEmpty()), this.allowedZones);
		this.submittedMillis.put(stage, this.context.now());
		this.jobIds.put(stage, this.coordinator.submit(definition.service(), job, this));
	}

	private ZonePreference zonePreference(int stage, boolean withoutInputs) {
		if (!withoutInputs) {
			return this.stageProgress.preferredInputZone(stage);
		}
		long bytes = this.route.stages().get(stage).resultBytes();
		return (bytes >= LARGE_RESULT_BYTES && isFinalStage(stage)) ? new ZonePreference(this.engineZone, bytes)
				: ZonePreference.NONE;
	}

	private @Nullable StageLimits stageLimits(String service) {
		return this.context.configuration()
			.flatMap((configuration) -> configuration.service(service))
			.map(ServiceDefinition::stageLimits)
			.orElse(null);
	}

	@Override
	public void onPiece(int stage, int piece, PieceResult result) {
		this.listener.execute(() -> processPiece(stage, piece, result));
	}

	private void processPiece(int stage, int piece, PieceResult result) {
		if (this.cancelled) {
			return;
		}
		if (result.handle() == null) {
			onPieceFailed(stage, result);
			return;
		}
		this.stageProgress.recordResult(stage, piece, result);
		if (!this.stageProgress.isStageComplete(stage)) {
			return;
		}
		this.jobIds.remove(stage);
		notifyStageEnd(stage, result);
		releaseConsumedInputs(stage);
		submitReady();
		if (this.stageProgress.isComplete()) {
			this.listener.onComplete();
		}
	}

	private void notifyStageEnd(int stage, PieceResult lastResult) {
		this.listener.onStageEnd(this.route.stages().get(stage).service(), this.stageProgress.pieceCount(stage),
				this.submittedMillis.getOrDefault(stage, this.context.now()), lastResult);
	}

	private void onPieceFailed(int stage, PieceResult result) {
		PieceFailure failure = (result.failure() != null) ? result.failure() : PieceFailure.FAILED;
		notifyStageEnd(stage, result);
		this.context.log()
			.event(EntryEvent.STAGE_FAILED)
			.field("id", this.request.requestId())
			.field("stage", stage)
			.field("reason", failure)
			.field("age_ms", this.context.now() - (this.latencyDeadlineMillis - this.route.latencyObjectiveMillis()))
			.write();
		if (failure == PieceFailure.INPUT_GONE) {
			this.listener.onInputLost();
			return;
		}
		this.listener.onFailed("stage_" + failure.name().toLowerCase(Locale.ROOT));
	}

	private void releaseConsumedInputs(int stage) {
		for (int source : this.route.stages().get(stage).inputStages()) {
			if (areDependentsComplete(source)) {
				releaseResults(source);
			}
		}
	}

	private boolean areDependentsComplete(int source) {
		for (int next = 0; next < this.route.stages().size(); next++) {
			if (this.route.stages().get(next).inputStages().contains(source)
					&& !this.stageProgress.isStageComplete(next)) {
				return false;
			}
		}
		return true;
	}

	private void releaseResults(int stage) {
		this.coordinator.release(this.route.stages().get(stage).service(), this.stageProgress.resultHandles(stage));
	}

	/**
	 * Releases the inputs of the request itself, once the response has begun.
	 */
	void releaseRequestInputs() {
		if (this.requestInputsReleased) {
			return;
		}
		this.requestInputsReleased = true;
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (isFinalStage(stage)) {
				releaseResults(stage);
			}
		}
	}

	private boolean isFinalStage(int stage) {
		return this.route.stages().stream().noneMatch((other) -> other.inputStages().contains(stage));
	}

	/**
	 * Cancels all pieces and releases all results.
	 */
	void cancel() {
		if (this.cancelled) {
			return;
		}
		this.cancelled = true;
		this.jobIds.values().forEach(this.coordinator::cancel);
		this.jobIds.clear();
		for (int stage = 0; stage < this.route.stages().size(); stage++) {
			if (isStarted() && isUnsubmitted(stage)) {
				announce(stage, 0);
			}
			boolean releasedBefore = isFinalStage(stage) ? this.requestInputsReleased : areDependentsComplete(stage);
			if (!releasedBefore) {
				releaseResults(stage);
			}
		}
	}

	/**
	 * Receives the progress of the stages of a request.
	 */
	interface Listener {

		/**
		 * Runs a step of the request, and ends the request if the step raises an
		 * exception.
		 * @param step the step
		 */
		void execute(Runnable step);

		/**
		 * Called when a stage has completed or failed.
		 * @param service the service of the stage
		 * @param pieces the number of its pieces
		 * @param startedMillis the monotonic time of its submission, in milliseconds
		 * @param lastResult the result of its last piece; without a handle, the stage
		 * failed
		 */
		void onStageEnd(String service, int pieces, long startedMillis, PieceResult lastResult);

		/**
		 * Called when all stages have completed.
		 */
		void onComplete();

		/**
		 * Called when a stage failed.
		 * @param reason the reason to report
		 */
		void onFailed(String reason);

		/**
		 * Called when a result that another stage needs is no longer available.
		 */
		void onInputLost();

	}

}
