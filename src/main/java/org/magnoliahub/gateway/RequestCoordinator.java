package org.magnoliahub.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.claim.ClaimRepository;
import org.magnoliahub.model.AttemptRecord;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.routing.AdmissionRequest;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.time.TimerService;

/**
 * Core of a gateway: checks, admits and runs requests, and keeps recent outcomes. All
 * methods run on the event loop.
 */
public final class RequestCoordinator {

	private static final int RECENT_OUTCOMES = 10_000;

	// Refusals under overload must not become a load of reads on the table service.
	private static final int MAXIMUM_REFUSAL_CHECKS = 100;

	private final GatewayContext context;

	private final Supplier<Instant> wallTime;

	private final RequestRecorder recorder;

	private final MeterRegistry meters;

	private final Map<RequestId, Outcome> recentOutcomes = new LinkedHashMap<>();

	private final CompletableSubject idle = CompletableSubject.create();

	private int inFlight;

	private int openClaims;

	private int refusalChecks;

	private boolean draining;

	private RequestCoordinator(GatewayContext context, Supplier<Instant> wallTime, RequestRecorder recorder,
			MeterRegistry meters) {
		this.context = context;
		this.wallTime = wallTime;
		this.recorder = recorder;
		this.meters = meters;
		meters.gauge("magnoliahub.gateway.requests.active", this, (coordinator) -> coordinator.inFlight);
	}

	/**
	 * Creates a coordinator.
	 * @param name name of the gateway, part of request ids
	 * @param configuration the configuration in force
	 * @param scheduler admission and choice of endpoints
	 * @param connections connections to agents
	 * @param claims claims of non-idempotent requests
	 * @param timers time
	 * @param random randomness for ids and jitter
	 * @param limits limits
	 * @param wallTime wall time for records
	 * @param recorder receives the record of each request
	 * @param meters counters
	 * @return the coordinator
	 */
	public static RequestCoordinator of(String name, Supplier<Configuration> configuration, StageScheduler scheduler,
			AgentConnections connections, ClaimRepository claims, TimerService timers, RandomGenerator random,
			GatewayLimits limits, Supplier<Instant> wallTime, RequestRecorder recorder, MeterRegistry meters) {
		RetryBudget retryBudget = RetryBudget.of(limits.retryBudgetPercent(), limits.maximumRetryTokens());
		GatewayContext context = new GatewayContext(name, configuration, scheduler, connections,
				new AttemptDispatcher(meters), claims, timers, random, limits, retryBudget,
				meters.counter("magnoliahub.gateway.retries"));
		return new RequestCoordinator(context, wallTime, recorder, meters);
	}

	/**
	 * Submits a request.
	 * @param submission the request
	 * @return parts of the answer, then one {@link ResponseEvent.Finished}; disposal
	 * means that the caller has gone
	 */
	public Flowable<ResponseEvent> submit(Submission submission) {
		// Buffered events are bounded by the greatest length of an answer.
		return Flowable.create((emitter) -> start(submission, emitter), BackpressureStrategy.BUFFER);
	}

	/**
	 * Looks a recent outcome up.
	 * @param request the request's id
	 * @return the outcome, empty if this gateway does not know the request or it has not
	 * ended
	 */
	public Optional<Outcome> findRecentOutcome(RequestId request) {
		return Optional.ofNullable(this.recentOutcomes.get(request));
	}

	/**
	 * Looks the outcome of a request with an idempotency key up, at any gateway.
	 * @param workspace name of the workspace
	 * @param idempotencyKey the key
	 * @return the outcome, empty if the key is not known;
	 * {@link org.magnoliahub.store.StoreException} if the store does not answer
	 */
	public Single<Optional<Outcome>> findOutcome(String workspace, String idempotencyKey) {
		return ClaimSession.lookUp(this.context, workspace, idempotencyKey);
	}

	/**
	 * Refuses new requests from now on.
	 * @return completes when no request is in flight
	 */
	public Completable drain() {
		this.draining = true;
		completeIfIdle();
		return this.idle;
	}

	/**
	 * Returns whether the configuration in force has a pipeline.
	 * @param pipeline name of the pipeline
	 * @return whether it is declared
	 */
	public boolean isPipelineDeclared(String pipeline) {
		return this.context.configuration().get().pipelines().containsKey(pipeline);
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number
	 */
	public int requestsInFlight() {
		return this.inFlight;
	}

	private void start(Submission submission, FlowableEmitter<ResponseEvent> emitter) {
		RequestId id = newRequestId();
		ReceivedRequest arrival = new ReceivedRequest(id, submission, this.wallTime.get());
		Configuration configuration = this.context.configuration().get();
		Outcome.NotRun refusal = check(submission, configuration);
		if (refusal != null) {
			refuse(arrival, refusal, configuration, emitter);
			return;
		}
		RequestClass requestClass = configuration.requestClasses().get(submission.requestClass());
		Workspace workspace = configuration.workspaces().get(submission.workspace());
		PipelineDefinition pipeline = configuration.pipelines().get(submission.pipeline());
		if (requestClass == null || workspace == null || pipeline == null) {
			throw new IllegalStateException("the configuration changed during the check");
		}
		Duration budget = submission.budget()
			.filter((asked) -> asked.compareTo(requestClass.deadline()) < 0)
			.orElse(requestClass.deadline());
		AdmissionRequest admission = new AdmissionRequest(id, workspace, requestClass, pipeline, budget);
		ClaimSession claim = pipeline.isIdempotent() ? null
				: new ClaimSession(this.context, id, pipeline, submission, inputHash(submission));
		this.inFlight++;
		this.openClaims += (claim != null) ? 1 : 0;
		RequestExecution execution = new RequestExecution(this.context, admission, submission, claim,
				new RequestExecution.Listener() {

					@Override
					public void event(ResponseEvent event) {
						emitter.onNext(event);
					}

					@Override
					public void ended(RequestExecution ended) {
						RequestCoordinator.this.ended(arrival, ended);
						emitter.onComplete();
					}

					@Override
					public void claimClosed() {
						RequestCoordinator.this.openClaims--;
						completeIfIdle();
					}

				});
		emitter.setCancellable(execution::callerGone);
		execution.start();
	}

	private Outcome.@Nullable NotRun check(Submission submission, Configuration configuration) {
		if (this.draining) {
			return new Outcome.NotRun(RefusalReason.DRAINING, "this gateway is shutting down; send the request again",
					Duration.ofMillis(100));
		}
		if (this.inFlight >= this.context.limits().maximumRequestsInFlight()) {
			return new Outcome.NotRun(RefusalReason.LIMIT_REACHED,
					"this gateway has " + this.inFlight + " requests in flight, which is its limit",
					Duration.ofSeconds(1));
		}
		return SubmissionValidator.check(submission, configuration);
	}

	// An earlier submission with the same key may have run, so a refusal for a reason
	// that
	// has nothing to do with the request is only told after a look at its claim.
	private void refuse(ReceivedRequest arrival, Outcome.NotRun refusal, Configuration configuration,
			FlowableEmitter<ResponseEvent> emitter) {
		PipelineDefinition pipeline = configuration.pipelines().get(arrival.submission().pipeline());
		if (pipeline == null || pipeline.isIdempotent()
				|| SubmissionValidator.check(arrival.submission(), configuration) != null) {
			refuse(arrival, refusal, emitter);
			return;
		}
		if (this.refusalChecks >= MAXIMUM_REFUSAL_CHECKS) {
			refuse(arrival, ClaimSession.unchecked(refusal), emitter);
			return;
		}
		this.refusalChecks++;
		Single<Outcome> checked = new ClaimSession(this.context, arrival.id(), pipeline, arrival.submission(),
				inputHash(arrival.submission()))
			.conclude(refusal)
			.onErrorReturn((failure) -> ClaimSession.unchecked(refusal));
		checked.subscribe((outcome) -> {
			this.refusalChecks--;
			refuse(arrival, outcome, emitter);
			completeIfIdle();
		});
	}

	private void refuse(ReceivedRequest arrival, Outcome refusal, FlowableEmitter<ResponseEvent> emitter) {
		recordEnd(arrival, refusal, 0, false, List.of());
		emitter.onNext(new ResponseEvent.Finished(arrival.id(), refusal));
		emitter.onComplete();
	}

	private void ended(ReceivedRequest arrival, RequestExecution execution) {
		Outcome answer = execution.answer();
		boolean withinDeadline = answer instanceof Outcome.Complete
				&& execution.answerMillis() <= execution.budget().toMillis();
		recordEnd(arrival, answer, execution.answerMillis(), withinDeadline, execution.attempts());
		this.inFlight--;
		completeIfIdle();
	}

	private void recordEnd(ReceivedRequest arrival, Outcome outcome, long totalMillis, boolean withinDeadline,
			List<AttemptRecord> attempts) {
		remember(arrival.id(), outcome);
		String reason = reasonOf(outcome);
		this.meters.counter("magnoliahub.gateway.requests", "outcome", outcome.label(), "reason", reason).increment();
		Submission submission = arrival.submission();
		this.recorder.record(new RequestRecord(arrival.id(), this.context.name(), submission.workspace(),
				submission.pipeline(), submission.requestClass(), arrival.time(), totalMillis, outcome.label(), reason,
				detailOf(outcome), withinDeadline, attempts));
	}

	private static String reasonOf(Outcome outcome) {
		if (outcome instanceof Outcome.NotRun notRun) {
			return notRun.reason().name().toLowerCase(Locale.ROOT);
		}
		if (outcome instanceof Outcome.Failed failed) {
			return failed.reason().name().toLowerCase(Locale.ROOT);
		}
		return "";
	}

	private static String detailOf(Outcome outcome) {
		if (outcome instanceof Outcome.NotRun notRun) {
			return notRun.detail();
		}
		if (outcome instanceof Outcome.Failed failed) {
			return failed.detail();
		}
		return (outcome instanceof Outcome.Unknown unknown) ? unknown.detail() : "";
	}

	private void remember(RequestId id, Outcome outcome) {
		this.recentOutcomes.put(id, outcome);
		if (this.recentOutcomes.size() > RECENT_OUTCOMES) {
			this.recentOutcomes.remove(this.recentOutcomes.keySet().iterator().next());
		}
	}

	private RequestId newRequestId() {
		RandomGenerator random = this.context.random();
		return new RequestId(String.format("%s-%016x%016x", this.context.name(), random.nextLong(), random.nextLong()));
	}

	private static String inputHash(Submission submission) {
		byte[] content = (submission.pipeline() + "\n" + submission.requestClass() + "\n" + submission.input())
			.getBytes(StandardCharsets.UTF_8);
		return String.format("%016x%016x", LongHashFunction.xx3().hashBytes(content),
				LongHashFunction.murmur_3().hashBytes(content));
	}

	private void completeIfIdle() {
		if (this.draining && this.inFlight == 0 && this.openClaims == 0 && this.refusalChecks == 0) {
			this.idle.onComplete();
		}
	}

	private record ReceivedRequest(RequestId id, Submission submission, Instant time) {

	}

}
