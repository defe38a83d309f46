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
 * Takes one admitted request through the stages of its pipeline. It knows for each sent
 * attempt whether it is proven that nothing ran, and chooses the outcome accordingly.
 */
final class RequestExecution {

	private final GatewayContext context;

	private final AdmissionRequest admission;

	private final Submission submission;

	private final Listener listener;

	private final @Nullable ClaimSession claim;

	private final long arrivedMillis;

	private final SerialDisposable current = new SerialDisposable();

	private final SerialDisposable deadline = new SerialDisposable();

	private final List<StageOutput> outputs = new ArrayList<>();

	private final List<AttemptRecord> attempts = new ArrayList<>();

	private final Set<String> stagesRun = new LinkedHashSet<>();

	private final Set<String> excluded = new HashSet<>();

	private int attemptNumber;

	private int attemptsAtStage;

	private long requestedMillis;

	private long withoutEndpointSinceMillis = -1;

	private @Nullable Assignment reserved;

	private @Nullable SentAttempt sent;

	private Optional<StageOutput> recovered = Optional.empty();

	private @Nullable Outcome answer;

	private long answeredMillis;

	private boolean admitted;

	private boolean claimChecked;

	private boolean answered;

	private boolean ended;

	private boolean partsDelivered;

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
	 * Asks for admission and starts the first stage. The claim of a request whose first
	 * stage is non-idempotent is written together with its first assignment.
	 */
	void start() {
		Disposable timer = this.context.timers().after(this.admission.budget()).subscribe(this::deadlineReached);
		this.deadline.set(timer);
		AdmissionDecision decision = this.context.scheduler().admit(this.admission);
		if (decision instanceof AdmissionDecision.Refused refused) {
			finish(new Outcome.NotRun(refused.reason(), refused.detail(), refused.retryAfter()));
			return;
		}
		this.admitted = true;
		if (this.claim == null || !stage().idempotent()) {
			assignStage();
			return;
		}
		await(this.claim.open(remaining()), this::claimOpened, this::claimFailed);
	}

	/**
	 * Ends the request because its caller has gone. A non-idempotent attempt that was
	 * sent is followed to its end all the same.
	 */
	void callerGone() {
		if (this.answered) {
			return;
		}
		if (isNonIdempotentAttemptOpen()) {
			answer(unknown("the caller closed its connection while the call was running"));
			return;
		}
		if (isFollowingAnotherSubmission()) {
			finish(unknown("the caller closed its connection before an earlier submission ended"));
			return;
		}
		finish((this.stagesRun.isEmpty() && this.sent == null)
				? new Outcome.NotRun(RefusalReason.CALLER_GONE, "the caller closed its connection", Duration.ZERO)
				: failed(FailureReason.CALLER_GONE, "the caller closed its connection"));
	}

	List<AttemptRecord> attempts() {
		return this.attempts;
	}

	private void claimOpened(ClaimCheckResult grant) {
		if (grant instanceof ClaimCheckResult.EarlierOutcome earlier) {
			finishWith(earlier.outcome());
			return;
		}
		useRecovered(grant);
		assignStage();
	}

	private void useRecovered(ClaimCheckResult grant) {
		if (grant instanceof ClaimCheckResult.Proceed granted && granted.recovered().isPresent()) {
			this.recovered = granted.recovered();
			this.stagesRun.add(granted.recovered().get().stage());
		}
	}

	private void claimFailed(Throwable failure) {
		giveUp(RefusalReason.STORE_UNAVAILABLE, FailureReason.STORE_UNAVAILABLE, String.valueOf(failure.getMessage()),
				this.context.limits().takeoverDelay());
	}

	private StageDefinition stage() {
		return this.admission.pipeline().stages().get(this.outputs.size());
	}

	private Duration remaining() {
		long elapsed = this.context.timers().milliTime() - this.arrivedMillis;
		return this.admission.budget().minusMillis(elapsed);
	}

	private void assignStage() {
		Optional<StageOutput> earlier = this.recovered.filter((output) -> output.stage().equals(stage().name()));
		if (earlier.isPresent()) {
			stageCompleted(earlier.get());
			return;
		}
		this.attemptNumber++;
		this.requestedMillis = this.context.timers().milliTime();
		AssignmentRequest request = new AssignmentRequest(attemptId(), this.admission.workspace(),
				this.admission.requestClass(), this.admission.pipeline(), remaining(), this.excluded, prefixHash());
		await(this.context.scheduler().assign(request), this::assigned, this::assignmentFailed);
	}

	private long prefixHash() {
		// Requests of one workspace and class share their prompt's beginning.
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
			giveUp(exception.reason(), reason, String.valueOf(exception.getMessage()), exception.retryAfter());
			return;
		}
		giveUp(RefusalReason.NO_ENDPOINT, FailureReason.NO_ENDPOINT, String.valueOf(failure), Duration.ofSeconds(1));
	}

	private void assigned(Assignment assignment) {
		AgentConnection connection = this.context.connections().find(assignment.endpoint()).orElse(null);
		Message.Hello peer = (connection != null) ? connection.agentHello().orElse(null) : null;
		if (connection == null || peer == null) {
			assignment.failed();
			this.excluded.add(assignment.endpoint().name());
			assignStage();
			return;
		}
		StageDefinition stage = stage();
		long budget = remaining().minus(this.context.limits().deadlineMargin()).toMillis();
		StageCall call = new StageCall(stage.name(), stage.type(), stage.path(), this.admission.workspace().name(),
				this.submission.input(), this.outputs, this.submission.idempotencyKey());
		Message.Execute execute = new Message.Execute(attemptId(), peer.incarnation(), stage.idempotent(),
				connection.agentMillisSeen(), budget, this.admission.requestClass().priority(), call);
		if (stage.idempotent() || this.claim == null) {
			send(assignment, connection, execute);
			return;
		}
		this.reserved = assignment;
		await(this.claim.assign(execute, assignment.endpoint().name(), remaining()),
				(grant) -> claimAssigned(grant, assignment, connection, execute),
				(failure) -> claimWriteFailed(assignment, failure));
	}

	// Endpoints that lost their connection are usually back within a second, so a stage
	// that finds none is not given up at once.
	private void waitForEndpoint(String detail, Duration retryAfter) {
		long now = this.context.timers().milliTime();
		if (this.withoutEndpointSinceMillis < 0) {
			this.withoutEndpointSinceMillis = now;
		}
		long waited = now - this.withoutEndpointSinceMillis;
		boolean isOver = waited >= this.context.limits().endpointWaitTimeout().toMillis()
				|| remaining().compareTo(this.context.limits().deadlineMargin()) <= 0;
		if (isOver) {
			giveUp(RefusalReason.NO_ENDPOINT, FailureReason.NO_ENDPOINT, detail, retryAfter);
			return;
		}
		this.excluded.clear();
		pause(jittered(this.context.limits().retryBackoff()), detail);
	}

	private Duration jittered(Duration mean) {
		return Duration.ofNanos((long) (mean.toNanos() * (0.5 + this.context.random().nextDouble())));
	}

	private void pause(Duration duration, String detail) {
		await(this.context.timers().after(duration).toSingleDefault(true), (elapsed) -> assignStage(),
				(failure) -> finish(failed(FailureReason.NO_ENDPOINT, detail)));
	}

	private void claimAssigned(ClaimCheckResult grant, Assignment assignment, AgentConnection connection,
			Message.Execute execute) {
		this.reserved = null;
		if (grant instanceof ClaimCheckResult.EarlierOutcome earlier) {
			assignment.released();
			finishWith(earlier.outcome());
			return;
		}
		if (grant instanceof ClaimCheckResult.Proceed granted && granted.recovered().isPresent()) {
			assignment.released();
			useRecovered(grant);
			assignStage();
			return;
		}
		send(assignment, connection, execute);
	}

	private void claimWriteFailed(Assignment assignment, Throwable failure) {
		this.reserved = null;
		assignment.released();
		claimFailed(failure);
	}

	private void send(Assignment assignment, AgentConnection connection, Message.Execute execute) {
		this.attemptsAtStage++;
		this.withoutEndpointSinceMillis = -1;
		SentAttempt attempt = new SentAttempt(assignment, execute, this.context.timers().milliTime());
		this.sent = attempt;
		await(StageAttempt.send(this.context.dispatcher(), connection, execute, this::deliverPart),
				(result) -> attemptEnded(attempt, result),
				(failure) -> attemptEnded(attempt, new AttemptResult.Failed(String.valueOf(failure))));
	}

	private void deliverPart(String part) {
		boolean lastStage = this.outputs.size() == this.admission.pipeline().stages().size() - 1;
		if (lastStage && !this.answered && stage().type() == StageType.GENERATE) {
			this.partsDelivered = true;
			this.listener.event(new ResponseEvent.Chunk(part));
		}
	}

	private void attemptEnded(SentAttempt attempt, AttemptResult result) {
		this.sent = null;
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
			endRejected(assignment, rejected.reason());
		}
		else if (result instanceof AttemptResult.Failed failed) {
			assignment.failed();
			record(attempt, "failed", elapsed(attempt));
			endUncertain(attempt, failed.detail(), FailureReason.ENDPOINT_ERROR);
		}
		else if (result instanceof AttemptResult.Lost lost) {
			assignment.failed();
			record(attempt, "lost", elapsed(attempt));
			endUncertain(attempt, lost.detail(), FailureReason.NO_ENDPOINT);
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
		this.excluded.clear();
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

	private void endRejected(Assignment assignment, RejectionReason reason) {
		if (reason == RejectionReason.DEADLINE_EXCEEDED) {
			assignment.released();
			giveUp(RefusalReason.DEADLINE_EXCEEDED, FailureReason.DEADLINE_EXCEEDED,
					"the deadline passed while the request waited at endpoint " + assignment.endpoint().name(),
					Duration.ofSeconds(1));
			return;
		}
		assignment.failed();
		retry(assignment, "endpoint " + assignment.endpoint().name() + " refused the attempt: " + reason,
				reason == RejectionReason.DRAINING);
	}

	private void endUncertain(SentAttempt attempt, String detail, FailureReason reason) {
		this.stagesRun.add(stage().name());
		if (!attempt.execute().idempotent()) {
			finish(unknown(detail));
			return;
		}
		if (!canRetry()) {
			finish(failed(isTimeLeft() ? reason : FailureReason.DEADLINE_EXCEEDED, detail));
			return;
		}
		retry(attempt.assignment(), detail, false);
	}

	private boolean canRetry() {
		return this.attemptsAtStage < this.context.limits().maximumAttemptsPerStage() && isTimeLeft();
	}

	private boolean isTimeLeft() {
		return remaining().compareTo(this.context.limits().deadlineMargin()) > 0;
	}

	private void retry(Assignment assignment, String detail, boolean isFree) {
		if (this.answered || !canRetry() || !(isFree || this.context.retryBudget().tryTake())) {
			giveUp(RefusalReason.NO_ENDPOINT, FailureReason.NO_ENDPOINT, detail, Duration.ofSeconds(1));
			return;
		}
		this.excluded.add(assignment.endpoint().name());
		this.context.retries().increment();
		if (this.partsDelivered) {
			this.partsDelivered = false;
			this.listener.event(new ResponseEvent.Restarted());
		}
		int doublings = Math.min(10, Math.max(0, this.attemptsAtStage - 1));
		pause(jittered(this.context.limits().retryBackoff().multipliedBy(1L << doublings)), detail);
	}

	private void giveUp(RefusalReason refusal, FailureReason failure, String detail, Duration retryAfter) {
		finish(this.stagesRun.isEmpty() ? notRun(refusal, detail, retryAfter) : failed(failure, detail));
	}

	private void deadlineReached() {
		if (this.answered) {
			return;
		}
		if (isNonIdempotentAttemptOpen()) {
			answer(unknown("the deadline passed while the call was running"));
			Disposable timer = this.context.timers()
				.after(this.context.limits().lateResultTimeout())
				.subscribe(() -> finish(unknown("no result came in time")));
			this.deadline.set(timer);
			return;
		}
		if (isFollowingAnotherSubmission()) {
			finish(unknown("an earlier submission with the same idempotency key has not ended"));
			return;
		}
		if (this.sent != null) {
			this.stagesRun.add(stage().name());
		}
		giveUp(RefusalReason.DEADLINE_EXCEEDED, FailureReason.DEADLINE_EXCEEDED, "the deadline passed",
				Duration.ofSeconds(1));
	}

	private boolean isNonIdempotentAttemptOpen() {
		SentAttempt attempt = this.sent;
		return attempt != null && !attempt.execute().idempotent();
	}

	private boolean isFollowingAnotherSubmission() {
		return this.claim != null && this.claim.isFollowing();
	}

	private Outcome.NotRun notRun(RefusalReason reason, String detail, Duration retryAfter) {
		return new Outcome.NotRun(reason, detail, retryAfter);
	}

	private Outcome.Failed failed(FailureReason reason, String detail) {
		return new Outcome.Failed(List.copyOf(this.stagesRun), reason, detail);
	}

	private Outcome.Unknown unknown(String detail) {
		return new Outcome.Unknown(stage().name(), detail);
	}

	// A refusal or failure of a request with an idempotency key is only told after a look
	// at its claim, since another submission may have run or taken this one over.
	private void finish(Outcome outcome) {
		// While the claim is looked at, the deadline or the caller's end changes nothing.
		if (this.ended || this.claimChecked) {
			return;
		}
		if (this.claim != null && needsClaimCheck(outcome)) {
			this.claimChecked = true;
			await(this.claim.conclude(outcome), this::finishConcluded,
					(failure) -> finishWith(ClaimSession.unchecked(outcome)));
			return;
		}
		finishWith(outcome);
	}

	// Parts that were streamed before belong to another attempt than the answer that
	// another submission completed.
	private void finishConcluded(Outcome outcome) {
		if (outcome instanceof Outcome.Complete && this.partsDelivered && !this.answered) {
			this.partsDelivered = false;
			this.listener.event(new ResponseEvent.Restarted());
		}
		finishWith(outcome);
	}

	private static boolean needsClaimCheck(Outcome outcome) {
		if (outcome instanceof Outcome.NotRun refusal) {
			return refusal.reason() != RefusalReason.STORE_UNAVAILABLE;
		}
		return outcome instanceof Outcome.Failed;
	}

	private void finishWith(Outcome outcome) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.deadline.dispose();
		SentAttempt attempt = this.sent;
		if (attempt != null) {
			attempt.assignment().released();
			record(attempt, "cancelled", elapsed(attempt));
		}
		if (this.reserved != null) {
			this.reserved.released();
		}
		answer(outcome);
		if (this.admitted) {
			this.context.scheduler().release(this.admission);
		}
		this.listener.ended(this);
		closeClaim(outcome);
		this.current.dispose();
	}

	// Waits for one result, in place of what was waited for before. A result that comes
	// during the subscription may start the next wait, which must not be disposed.
	private <T> void await(Single<T> single, Consumer<T> onSuccess, Consumer<Throwable> onError) {
		SerialDisposable step = new SerialDisposable();
		this.current.set(step);
		step.set(single.subscribe(onSuccess::accept, onError::accept));
	}

	private void closeClaim(Outcome outcome) {
		if (this.claim != null) {
			this.claim.finish(outcome).subscribe(this.listener::claimClosed, (failure) -> this.listener.claimClosed());
		}
	}

	private void answer(Outcome outcome) {
		if (this.answer == null) {
			this.answer = outcome;
			this.answeredMillis = this.context.timers().milliTime();
			this.answered = true;
			this.listener.event(new ResponseEvent.Finished(this.admission.request(), outcome));
		}
	}

	/**
	 * Returns what the caller was told.
	 * @return the outcome
	 * @throws IllegalStateException if the caller was not answered yet
	 */
	Outcome answer() {
		if (this.answer == null) {
			throw new IllegalStateException("the request was not answered yet");
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
	 * Receives what happens to a request.
	 */
	interface Listener {

		/**
		 * Takes an event for the caller.
		 * @param event the event
		 */
		void event(ResponseEvent event);

		/**
		 * The request has ended; the caller was answered.
		 * @param execution the request
		 */
		void ended(RequestExecution execution);

		/** The claim of the request is written or given up. */
		void claimClosed();

	}

	private record SentAttempt(Assignment assignment, Message.Execute execute, long sentMillis) {

	}

}
