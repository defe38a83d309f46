package org.magnoliahub.entry;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.StageAdmission;

/**
 * The stages of one request, which run before it is sent, and once more if their results
 * are lost or a stream that has begun needs them again.
 */
final class RequestStages implements StageExecution.Listener {

	private final EntryContext context;

	private final StageCoordinator coordinator;

	private final RequestFlow flow;

	private final Route route;

	private final CallerRequest request;

	private final RequestTelemetry telemetry;

	private final long arrivedMillis;

	private final String service;

	private final AllowedZones allowedZones;

	private @Nullable StageExecution execution;

	private boolean retried;

	RequestStages(EntryContext context, StageCoordinator coordinator, RequestFlow flow, Route route,
			CallerRequest request, RequestTelemetry telemetry, long arrivedMillis, String service,
			AllowedZones allowedZones) {
		this.context = context;
		this.coordinator = coordinator;
		this.flow = flow;
		this.route = route;
		this.request = request;
		this.telemetry = telemetry;
		this.arrivedMillis = arrivedMillis;
		this.service = service;
		this.allowedZones = allowedZones;
	}

	/**
	 * Runs the stages.
	 * @param zone zone in which the results are used, empty if unknown
	 * @param expiresAt monotonic time at which the request no longer needs them, in
	 * milliseconds
	 * @param firstRun whether nothing was sent yet; admission applies only then
	 */
	void start(String zone, long expiresAt, boolean firstRun) {
		StageExecution next = new StageExecution(this.context, this.coordinator, this.route, this.request,
				this.arrivedMillis, expiresAt, zone, this.allowedZones, this);
		this.execution = next;
		long now = this.context.now();
		if (this.context.directory().pausedMillis(this.service, this.allowedZones, now) > next.minimumChainMillis()) {
			this.flow.endUnanswered(RefusalReason.PAUSED);
			return;
		}
		String refusal = placementRefusal(next, now);
		if (refusal != null) {
			this.flow.endUnanswered(refusal);
			return;
		}
		if (!firstRun || this.retried || mayStart(next, expiresAt)) {
			next.start();
			return;
		}
		this.flow.endUnanswered(RefusalReason.NO_CAPACITY);
	}

	private @Nullable String placementRefusal(StageExecution run, long now) {
		String reason = RefusalReason.ofPlacement(this.context.directory(), this.service, this.allowedZones, now);
		return (reason != null) ? reason : run.placementRefusal();
	}

	private boolean mayStart(StageExecution next, long expiresAt) {
		long now = this.context.now();
		StageAdmission.Estimate estimate = new StageAdmission.Estimate(next.expectedWaitMillis(), next.chainMillis(),
				next.minimumChainMillis(), this.arrivedMillis + this.route.latencyObjectiveMillis() - now,
				expiresAt - now, this.route.priority());
		boolean admitted = StageAdmission.isAdmitted(estimate);
		this.telemetry.stagesDecided(estimate, admitted);
		return admitted;
	}

	/**
	 * Cancels the current run so that the stages may run once more.
	 * @return {@code false} if they were repeated before
	 */
	boolean prepareRepeat() {
		if (this.retried) {
			return false;
		}
		this.retried = true;
		cancel();
		return true;
	}

	/**
	 * Returns whether the stages were repeated.
	 * @return whether they may not run once more
	 */
	boolean areRepeated() {
		return this.retried;
	}

	Map<String, Long> inputBytesByZone() {
		return (this.execution != null) ? this.execution.inputBytesByZone() : Map.of();
	}

	List<String> requestInputs() {
		return (this.execution != null) ? this.execution.requestInputs() : List.of();
	}

	/**
	 * Returns whether the results were released, so that another attempt needs new ones.
	 * @return whether the stages must run before another attempt
	 */
	boolean areRequestInputsReleased() {
		return this.execution != null && this.execution.areRequestInputsReleased();
	}

	void releaseRequestInputs() {
		if (this.execution != null) {
			this.execution.releaseRequestInputs();
		}
	}

	long pausedMillis() {
		return (this.execution != null) ? this.execution.pausedMillis() : 0;
	}

	void cancel() {
		if (this.execution != null) {
			this.execution.cancel();
		}
	}

	@Override
	public void execute(Runnable step) {
		this.flow.faultBarrier().run(step);
	}

	@Override
	public void onStageEnd(String stageService, int pieces, long startedMillis, PieceResult lastResult) {
		this.telemetry.stageEnded(stageService, pieces, startedMillis, lastResult);
	}

	@Override
	public void onComplete() {
		this.flow.dispatch();
	}

	@Override
	public void onFailed(String reason) {
		String refusal = (this.execution != null) ? this.execution.placementRefusal() : null;
		this.flow.endUnanswered((refusal != null) ? refusal : reason);
	}

	@Override
	public void onInputLost() {
		if (prepareRepeat()) {
			this.flow.startStages(this.route);
			return;
		}
		this.flow.endUnanswered(RefusalReason.INPUTS_GONE);
	}

}
