package org.magnoliahub.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.FailureReason;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.StageType;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.RejectionReason;
import org.magnoliahub.routing.AdmissionDecision;
import org.magnoliahub.routing.AdmissionRequest;
import org.magnoliahub.routing.Assignment;
import org.magnoliahub.routing.AssignmentException;
import org.magnoliahub.routing.AssignmentRequest;

/**
 * Runs one request through the stages of its pipeline. Tracks whether each attempt that
 * was sent is proven not to have run, and derives the outcome from it.
 */
final class RequestExecution {

	private final GatewayContext context;

	private final AdmissionRequest admission;

	private final Submission submission;

	private final Listener listener;

	private final @Nullable ClaimSession claim;

	private final long arrivedMillis;

	private final SerialDisposable currentStep = new SerialDisposable();

	private final SerialDisposable deadlineTimer = new SerialDisposable();

	private final List<StageOutput> outputs = new ArrayList<>();

	private final List<AttemptRecord> attempts = new ArrayList<>();

	private final Set<String> stagesRun = new LinkedHashSet<>();

	private final Set<String> excludedEndpoints = new HashSet<>();

	private int attemptNumber;

	private int attemptsAtStage;

	private long requestedMillis;

	private long noEndpointSinceMillis = -1;

	private @Nullable Assignment reservedAssignment;

	private @Nullable SentAttempt sentAttempt;

	private Optional<StageOutput> recoveredOutput = Optional.empty();

	private @Nullable Outcome answer;

	private long answeredMillis;

	private boolean admitted;

	private boolean claimCheckStarted;

	private boolean answered;

	private boolean ended;

	private boolean chunksDelivered;

	RequestExecution(GatewayContext context, AdmissionRequest admission, Submission submission,
			@Nullable ClaimSession claim, Listener listener) {
		this.context = context;
		this.admission = admission;
		this.submission = submission;
		this.claim = claim;
		this.listener = listener;
		this.arrivedMillis = context.timers().milliTime();
	}

	/**
	 * Requests admission and starts the first stage. If that stage is non-idempotent, the
	 * claim is written together with the first assignment.
	 */
	void start() {
		Disposable timer = this.context.timers().after(this.admission.budget()).subscribe(this::deadlineReached);
		this.deadlineTimer.set(timer);
		AdmissionDecision decision = this.context.scheduler().admit(this.admission);
		if (decision instanceof AdmissionDecision.Refused refused) {
			finish(new Outcome.NotRun(refused.reason(), refused.detail(), refused.retryAfter()));
			return;
		}
		this.admitted = true;
		if (this.claim == null || !currentStage().idempotent()) {
			assignStage();
			return;
		}
		awaitResult(this.claim.acquireOpen(remainingBudget()), this::claimAcquired, this::claimAccessFailed);
	}

	/**
	 * Ends the request because its caller has disconnected. A non-idempotent attempt that
	 * was already sent is still tracked to its end.
	 */
	void callerDisconnected() {
		if (this.answered) {
			return;
		}
		if (isNonIdempotentAttemptRunning()) {
			answer(unknown("the caller closed its connection while the call was running"));
			return;
		}
		if (isAwaitingOtherSubmission()) {
			finish(unknown("the caller closed its connection before an earlier submission ended"));
			return;
		}
		finish((this.stagesRun.isEmpty() && this.sentAttempt == null)
				? new Outcome.NotRun(RefusalReason.CALLER_GONE, "the caller closed its connection", Duration.ZERO)
				: failed(FailureReason.CALLER_GONE, "the caller closed its connection"));
	}

	List<AttemptRecord> attempts() {
		return this.attempts;
	}

	private void claimAcquired(ClaimCheckResult result) {
		if (result instanceof ClaimCheckResult.EarlierOutcome earlier) {
			end(earlier.outcome());
			return;
		}
		adoptRecoveredOutput(result);
		assignStage();
	}

	private void adoptRecoveredOutput(ClaimCheckResult result) {
		if (result instanceof ClaimCheckResult.Proceed proceed && proceed.recoveredOutput().isPresent()) {
			this.recoveredOutput = proceed.recoveredOutput();
			this.stagesRun.add(proceed.recoveredOutput().get().stage());
		}
	}

	private void claimAccessFailed(Throwable failure) {
		refuseOrFail(RefusalReason.STORE_UNAVAILABLE, FailureReason.STORE_UNAVAILABLE,
				String.valueOf(failure.getMessage()), this.context.limits().takeoverDelay());
	}

	private StageDefinition currentStage() {
		return this.admission.pipeline().stages().get(this.outputs.size());
	}

	private Duration remainingBudget() {
		long elapsed = this.context.timers().milliTime() - this.arrivedMillis;
		return this.admission.budget().minusMillis(elapsed);
	}

	private void assignStage() {
		Optional<StageOutput> recovered = this.recoveredOutput
			.filter((output) -> output.stage().equals(currentStage().name()));
		if (recovered.isPresent()) {
			stageCompleted(recovered.get());
			return;
		}
		this.attemptNumber++;
		this.requestedMillis = this.context.timers().milliTime();
		AssignmentRequest request = new AssignmentRequest(attemptId(), this.admission.workspace(),
				this.admission.requestClass(), this.admission.pipeline(), remainingBudget(), this.excludedEndpoints,
				prefixHash());
		awaitResult(this.context.scheduler().assign(request), this::endpointAssigned, this::assignmentFailed);
	}

	private long prefixHash() {
		// Requests of the same workspace and class share a prompt prefix.
		return 31L * this.admission.workspace().name().hashCode() + this.admission.requestClass().name().hashCode();
	}

	private AttemptId attemptId() {
		return new AttemptId(this.admission.request(), this.outputs.size(), this.attemptNumber);
	}

	private void assignmentFailed(Throwable failure) {
		if (failure instanceof AssignmentException exception) {
			if (exception.reason() == RefusalReason.NO_ENDPOINT) {
				waitForEndpoint(String.valueOf(exception.getMessage()), exception.retryAfter());
				return;
			}
			FailureReason reason = (exception.reason() == RefusalReason.DEADLINE_TOO_SHORT)
					? FailureReason.DEADLINE_EXCEEDED : FailureReason.NO_ENDPOINT;
			refuseOrFail(exception.reason(), reason, String.valueOf(exception.getMessage()), exception.retryAfter());
			return;
		}
		refuseOrFail(RefusalReason.NO_ENDPOINT, FailureReason.NO_ENDPOINT, String.valueOf(failure),
				Duration.ofSeconds(1));
	}

	private void endpointAssigned(Assignment assignment) {
		AgentConnection connection = this.context.connections().find(assignment.endpoint()).orElse(null);
		Message.Hello hello = (connection != null) ? connection.agentHello().orElse(null) : null;
		if (connection == null || hello == null) {
			assignment.failed();
			this.excludedEndpoints.add(assignment.endpoint().name());
			assignStage();
			return;
		}
		StageDefinition stage = currentStage();
		long budget = remainingBudget().minus(this.context.limits().deadlineMargin()).toMillis();
		StageCall call = new StageCall(stage.name(), stage.type(), stage.path(), this.admission.workspace().name(),
				this.submission.input(), this.outputs, this.submission.idempotencyKey());
		Message.Execute execute = new Message.Execute(attemptId(), hello.incarnation(), stage.idempotent(),
				connection.agentMillisSeen(), budget, this.admission.requestClass().priority(), call);
		if (stage.idempotent() || this.claim == null) {
			send(assignment, connection, execute);
			return;
		}
		this.reservedAssignment = assignment;
		awaitResult(this.claim.recordAttempt(execute, assignment.endpoint().name(), remainingBudget()),
				(result) -> attemptRecorded(result, assignment, connection, execute),
				(failure) -> claimWriteFailed(assignment, failure));
	}

	// Endpoints usually reconnect within a second, so a stage without a connected
	// endpoint does not fail at once.
	private void waitForEndpoint(String detail, Duration retryAfter) {
		long now = this.context.timers().milliTime();
		if (this.noEndpointSinceMillis < 0) {
			this.noEndpointSinceMillis = now;
		}
		long waited = now - this.noEndpointSinceMillis;
		boolean waitExpired = waited >= this.context.limits().endpointWaitTimeout().toMillis()
				|| remainingBudget().compareTo(this.context.limits().deadlineMargin()) <= 0;
		if (waitExpired) {
			refuseOrFail(RefusalReason.NO_ENDPOINT, FailureReason.NO_ENDPOINT, detail, retryAfter);
			return;
		}
		this.excludedEndpoints.clear();
		assignStageAfter(jittered(this.context.limits().retryBackoff()), detail);
	}

	private Duration jittered(Duration mean) {
		return Duration.ofNanos((long) (mean.toNanos() * (0.5 + this.context.random().nextDouble())));
	}

	private void assignStageAfter(Duration delay, String detail) {
		awaitResult(this.context.timers().after(delay).toSingleDefault(true), (elapsed) -> assignStage(),
				(failure) -> finish(failed(FailureReason.NO_ENDPOINT, detail)));
	}

	private void attemptRecorded(ClaimCheckResult result, Assignment assignment, AgentConnection connection,
			Message.Execute execute) {
		this.reservedAssignment = null;
		if (result instanceof ClaimCheckResult.EarlierOutcome earlier) {
			assignment.released();
			end(earlier.outcome());
			return;
		}
		if (result instanceof ClaimCheckResult.Proceed proceed && proceed.recoveredOutput().isPresent()) {
			assignment.released();
			adoptRecoveredOutput(result);
			assignStage();
			return;
		}
		send(assignment, connection, execute);
	}

	private void claimWriteFailed(Assignment assignment, Throwable failure) {
		this.reservedAssignment = null;
		assignment.released();
		claimAccessFailed(failure);
	}

	private void send(Assignment assignment, AgentConnection connection, Message.Execute execute) {
		this.attemptsAtStage++;
		this.noEndpointSinceMillis = -1;
		SentAttempt attempt = new SentAttempt(assignment, execute, this.context.timers().milliTime());
		this.sentAttempt = attempt;
		awaitResult(StageAttempt.send(this.context.dispatcher(), connection, execute, this::deliverChunk),
				(result) -> attemptEnded(attempt, result),
				(failure) -> attemptEnded(attempt, new AttemptResult.Failed(String.valueOf(failure))));
	}

	private void deliverChunk(String chunk) {
		boolean lastStage = this.outputs.size() == this.admission.pipeline().stages().size() - 1;
		if (lastStage && !this.answered && currentStage().type() == StageType.GENERATE) {
			this.chunksDelivered = true;
			this.listener.onEvent(new ResponseEvent.Chunk(chunk));
		}
	}

	private void attemptEnded(SentAttempt attempt, AttemptResult result) {
		this.sentAttempt = null;
		if (this.ended) {
			return;
		}
		Assignment assignment = attempt.assignment();
		if (result instanceof AttemptResult.Completed completed) {
			assignment.completed(completed.output(), completed.load());
			record(attempt, "completed", completed.output().endpointMillis());
			this.context.retryBudget().recordSuccess();
			stageCompleted(completed.output());
		}
		else if (result instanceof AttemptResult.NeverStarted rejected) {
			record(attempt, "never_started", 0);
			handleRejection(assignment, rejected.reason());
		}
		else if (result instanceof AttemptResult.Failed failed) {
			assignment.failed();
			record(attempt, "failed", elapsed(attempt));
			handleFailure(attempt, failed.detail(), FailureReason.ENDPOINT_ERROR);
		}
		else if (result instanceof AttemptResult.Lost lost) {
			assignment.failed();
			record(attempt, "lost", elapsed(attempt));
			handleFailure(attempt, lost.detail(), FailureReason.NO_ENDPOINT);
		}
	}

	private long elapsed(SentAttempt attempt) {
		return this.context.timers().milliTime() - attempt.sentMillis();
	}

	private void record(SentAttempt attempt, String result, long costMillis) {
		StageDefinition stage = this.admission.pipeline().stages().get(attempt.execute().attempt().stage());
		double cost = stage.pricePerSecond() * costMillis / 1000.0;
		this.attempts.add(new AttemptRecord(stage.name(), attempt.assignment().endpoint().name(), this.attemptsAtStage,
				attempt.sentMillis() - this.requestedMillis, elapsed(attempt), result, cost));
	}

	private void stageCompleted(StageOutput output) {
		this.stagesRun.add(output.stage());
		this.outputs.add(output);
		this.excludedEndpoints.clear();
		this.attemptsAtStage = 0;
		if (this.outputs.size() == this.admission.pipeline().stages().size()) {
			finish(new Outcome.Complete(output.content()));
			return;
		}
		if (this.answered) {
			finish(failed(FailureReason.DEADLINE_EXCEEDED, "the deadline passed"));
			return;
		}
		assignStage();
	}

	private void handleRejection(Assignment assignment, RejectionReason reason) {
		if (reason == RejectionReason.DEADLINE_EXCEEDED) {
			assignment.released();
			refuseOrFail(RefusalReason.DEADLINE_EXCEEDED, FailureReason.DEADLINE_EXCEEDED,
					"the deadline passed while the request waited at endpoint " + assignment.endpoint().name(),
					Duration.ofSeconds(1));
			return;
		}
		assignment.failed();
		retry(assignment, "endpoint " + assignment.endpoint().name() + " refused the attempt: " + reason,
				reason == RejectionReason.DRAINING);
	}

	private void handleFailure(SentAttempt attempt, String detail, FailureReason reason) {
		this.stagesRun.add(currentStage().name());
		if (!attempt.execute().idempotent()) {
			finish(unknown(detail));
			return;
		}
		if (!canRetry()) {
			finish(failed(hasTimeLeft() ? reason : FailureReason.DEADLINE_EXCEEDED, detail));
			return;
		}
		retry(attempt.assignment(), detail, false);
	}

	private boolean canRetry() {
		return this.attemptsAtStage < this.context.limits().maximumAttemptsPerStage() && hasTimeLeft();
	}

	private boolean hasTimeLeft() {
		return remainingBudget().compareTo(this.context.limits().deadlineMargin()) > 0;
	}

	private void retry(Assignment assignment, String detail, boolean exemptFromBudget) {
		if (this.answered || !canRetry() || !(exemptFromBudget || this.context.retryBudget().tryAcquire())) {
			refuseOrFail(RefusalReason.NO_ENDPOINT, FailureReason.NO_ENDPOINT, detail, Duration.ofSeconds(1));
			return;
		}
		this.excludedEndpoints.add(assignment.endpoint().name());
		this.context.retryCounter().increment();
		if (this.chunksDelivered) {
			this.chunksDelivered = false;
			this.listener.onEvent(new ResponseEvent.Restarted());
		}
		int doublings = Math.min(10, Math.max(0, this.attemptsAtStage - 1));
		assignStageAfter(jittered(this.context.limits().retryBackoff().multipliedBy(1L << doublings)), detail);
	}

	private void refuseOrFail(RefusalReason refusal, FailureReason failure, String detail, Duration retryAfter) {
		finish(this.stagesRun.isEmpty() ? notRun(refusal, detail, retryAfter) : failed(failure, detail));
	}

	private void deadlineReached() {
		if (this.answered) {
			return;
		}
		if (isNonIdempotentAttemptRunning()) {
			answer(unknown("the deadline passed while the call was running"));
			Disposable timer = this.context.timers()
				.after(this.context.limits().lateResultTimeout())
				.subscribe(() -> finish(unknown("no result came in time")));
			this.deadlineTimer.set(timer);
			return;
		}
		if (isAwaitingOtherSubmission()) {
			finish(unknown("an earlier submission with the same idempotency key has not ended"));
			return;
		}
		if (this.sentAttempt != null) {
			this.stagesRun.add(currentStage().name());
		}
		refuseOrFail(RefusalReason.DEADLINE_EXCEEDED, FailureReason.DEADLINE_EXCEEDED, "the deadline passed",
				Duration.ofSeconds(1));
	}

	private boolean isNonIdempotentAttemptRunning() {
		SentAttempt attempt = this.sentAttempt;
		return attempt != null && !attempt.execute().idempotent();
	}

	private boolean isAwaitingOtherSubmission() {
		return this.claim != null && this.claim.isAwaitingOtherSubmission();
	}

	private Outcome.NotRun notRun(RefusalReason reason, String detail, Duration retryAfter) {
		return new Outcome.NotRun(reason, detail, retryAfter);
	}

	private Outcome.Failed failed(FailureReason reason, String detail) {
		return new Outcome.Failed(List.copyOf(this.stagesRun), reason, detail);
	}

	private Outcome.Unknown unknown(String detail) {
		return new Outcome.Unknown(currentStage().name(), detail);
	}

	// The claim of a request with an idempotency key is checked before a refusal or
	// failure is reported, since another submission may have run or taken over the claim.
	private void finish(Outcome outcome) {
		// While the claim is being checked, the deadline and a disconnect of the caller
		// have no effect.
		if (this.ended || this.claimCheckStarted) {
			return;
		}
		if (this.claim != null && needsClaimCheck(outcome)) {
			this.claimCheckStarted = true;
			awaitResult(this.claim.confirm(outcome), this::finishConfirmed,
					(failure) -> end(ClaimSession.uncheckedOutcome(outcome)));
			return;
		}
		end(outcome);
	}

	// Chunks that were already streamed are invalid if another submission completed the
	// answer, since they belong to a different attempt.
	private void finishConfirmed(Outcome outcome) {
		if (outcome instanceof Outcome.Complete && this.chunksDelivered && !this.answered) {
			this.chunksDelivered = false;
			this.listener.onEvent(new ResponseEvent.Restarted());
		}
		end(outcome);
	}

	private static boolean needsClaimCheck(Outcome outcome) {
		if (outcome instanceof Outcome.NotRun refusal) {
			return refusal.reason() != RefusalReason.STORE_UNAVAILABLE;
		}
		return outcome instanceof Outcome.Failed;
	}

	private void end(Outcome outcome) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.deadlineTimer.dispose();
		SentAttempt attempt = this.sentAttempt;
		if (attempt != null) {
			attempt.assignment().released();
			record(attempt, "cancelled", elapsed(attempt));
		}
		if (this.reservedAssignment != null) {
			this.reservedAssignment.released();
		}
		answer(outcome);
		if (this.admitted) {
			this.context.scheduler().release(this.admission);
		}
		this.listener.onEnd(this);
		finishClaim(outcome);
		this.currentStep.dispose();
	}

	// Subscribes to the next result and cancels the previous subscription. Each step has
	// its own disposable because a result emitted during subscribe() may start the next
	// step, which must not be cancelled.
	private <T> void awaitResult(Single<T> single, Consumer<T> onSuccess, Consumer<Throwable> onError) {
		SerialDisposable step = new SerialDisposable();
		this.currentStep.set(step);
		step.set(single.subscribe(onSuccess::accept, onError::accept));
	}

	private void finishClaim(Outcome outcome) {
		if (this.claim != null) {
			this.claim.finish(outcome)
				.subscribe(this.listener::onClaimFinished, (failure) -> this.listener.onClaimFinished());
		}
	}

	private void answer(Outcome outcome) {
		if (this.answer == null) {
			this.answer = outcome;
			this.answeredMillis = this.context.timers().milliTime();
			this.answered = true;
			this.listener.onEvent(new ResponseEvent.Finished(this.admission.request(), outcome));
		}
	}

	/**
	 * Returns the outcome that was reported to the caller.
	 * @return the outcome
	 * @throws IllegalStateException if the caller has not been answered yet
	 */
	Outcome answer() {
		if (this.answer == null) {
			throw new IllegalStateException("the request has not been answered yet");
		}
		return this.answer;
	}

	/**
	 * Returns the time from arrival to the answer.
	 * @return milliseconds
	 */
	long answerMillis() {
		return this.answeredMillis - this.arrivedMillis;
	}

	Duration budget() {
		return this.admission.budget();
	}

	/**
	 * Receives the events of a request.
	 */
	interface Listener {

		/**
		 * Called with each event of the response to the caller.
		 * @param event the event
		 */
		void onEvent(ResponseEvent event);

		/**
		 * Called when the request has ended and its caller was answered.
		 * @param execution the request
		 */
		void onEnd(RequestExecution execution);

		/** Called when the claim of the request was updated or the update failed. */
		void onClaimFinished();

	}

	private record SentAttempt(Assignment assignment, Message.Execute execute, long sentMillis) {

	}

}
