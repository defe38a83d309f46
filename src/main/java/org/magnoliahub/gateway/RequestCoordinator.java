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
 * Core of a gateway: validates, admits and runs requests, and caches recent outcomes. All
 * methods must be called on the event loop.
 */
public final class RequestCoordinator {

	private static final int MAXIMUM_RECENT_OUTCOMES = 10_000;

	// During overload, the claim checks of refused requests must not overload the table
	// service as well.
	private static final int MAXIMUM_CONCURRENT_REFUSAL_CHECKS = 100;

	private final GatewayContext context;

	private final Supplier<Instant> wallTime;

	private final RequestRecorder recorder;

	private final MeterRegistry meters;

	private final Map<RequestId, Outcome> recentOutcomes = new LinkedHashMap<>();

	private final CompletableSubject idle = CompletableSubject.create();

	private int requestsInFlight;

	private int unfinishedClaims;

	private int refusalChecksInFlight;

	private boolean draining;

	private RequestCoordinator(GatewayContext context, Supplier<Instant> wallTime, RequestRecorder recorder,
			MeterRegistry meters) {
		this.context = context;
		this.wallTime = wallTime;
		this.recorder = recorder;
		this.meters = meters;
		meters.gauge("magnoliahub.gateway.requests.active", this, (coordinator) -> coordinator.requestsInFlight);
	}

	/**
	 * Creates a coordinator.
	 * @param name name of the gateway, used in request ids
	 * @param configuration supplies the current configuration
	 * @param scheduler admission control and endpoint selection
	 * @param connections connections to agents
	 * @param claims repository of the claims of non-idempotent requests
	 * @param timers monotonic time and timers
	 * @param random random numbers for ids and jitter
	 * @param limits limits of the gateway
	 * @param wallTime wall-clock time for records
	 * @param recorder receives the record of each request
	 * @param meters registry of the metrics
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
	 * @return chunks of the answer, then one {@link ResponseEvent.Finished}; disposal
	 * means that the caller has disconnected
	 */
	public Flowable<ResponseEvent> submit(Submission submission) {
		// The maximum length of an answer bounds the number of buffered events.
		return Flowable.create((emitter) -> start(submission, emitter), BackpressureStrategy.BUFFER);
	}

	/**
	 * Looks up a recent outcome.
	 * @param request id of the request
	 * @return the outcome, empty if this gateway does not know the request or it has not
	 * ended
	 */
	public Optional<Outcome> findRecentOutcome(RequestId request) {
		return Optional.ofNullable(this.recentOutcomes.get(request));
	}

	/**
	 * Looks up the outcome of a request with an idempotency key, whichever gateway ran
	 * it.
	 * @param workspace name of the workspace
	 * @param idempotencyKey the key
	 * @return the outcome, empty if the key is not known; fails with a
	 * {@link org.magnoliahub.store.StoreException} if the store does not respond
	 */
	public Single<Optional<Outcome>> findOutcome(String workspace, String idempotencyKey) {
		return ClaimSession.lookUp(this.context, workspace, idempotencyKey);
	}

	/**
	 * Starts to drain: refuses new requests and lets running requests end.
	 * @return completes when all requests and the updates of their claims have ended
	 */
	public Completable drain() {
		this.draining = true;
		completeIfIdle();
		return this.idle;
	}

	/**
	 * Returns whether the current configuration declares a pipeline.
	 * @param pipeline name of the pipeline
	 * @return whether the pipeline is declared
	 */
	public boolean isPipelineDeclared(String pipeline) {
		return this.context.configuration().get().pipelines().containsKey(pipeline);
	}

	/**
	 * Returns the number of requests in flight.
	 * @return number of requests that have not ended
	 */
	public int requestsInFlight() {
		return this.requestsInFlight;
	}

	private void start(Submission submission, FlowableEmitter<ResponseEvent> emitter) {
		RequestId id = newRequestId();
		ReceivedRequest received = new ReceivedRequest(id, submission, this.wallTime.get());
		Configuration configuration = this.context.configuration().get();
		Outcome.NotRun refusal = findRefusal(submission, configuration);
		if (refusal != null) {
			refuse(received, refusal, configuration, emitter);
			return;
		}
		RequestClass requestClass = configuration.requestClasses().get(submission.requestClass());
		Workspace workspace = configuration.workspaces().get(submission.workspace());
		PipelineDefinition pipeline = configuration.pipelines().get(submission.pipeline());
		if (requestClass == null || workspace == null || pipeline == null) {
			throw new IllegalStateException("the configuration changed during the check");
		}
		Duration budget = submission.budget()
			.filter((requested) -> requested.compareTo(requestClass.deadline()) < 0)
			.orElse(requestClass.deadline());
		AdmissionRequest admission = new AdmissionRequest(id, workspace, requestClass, pipeline, budget);
		ClaimSession claim = pipeline.isIdempotent() ? null
				: new ClaimSession(this.context, id, pipeline, submission, inputHash(submission));
		this.requestsInFlight++;
		this.unfinishedClaims += (claim != null) ? 1 : 0;
		RequestExecution execution = new RequestExecution(this.context, admission, submission, claim,
				new RequestExecution.Listener() {

					@Override
					public void onEvent(ResponseEvent event) {
						emitter.onNext(event);
					}

					@Override
					public void onEnd(RequestExecution ended) {
						RequestCoordinator.this.requestEnded(received, ended);
						emitter.onComplete();
					}

					@Override
					public void onClaimFinished() {
						RequestCoordinator.this.unfinishedClaims--;
						completeIfIdle();
					}

				});
		emitter.setCancellable(execution::callerDisconnected);
		execution.start();
	}

	private Outcome.@Nullable NotRun findRefusal(Submission submission, Configuration configuration) {
		if (this.draining) {
			return new Outcome.NotRun(RefusalReason.DRAINING, "this gateway is shutting down; send the request again",
					Duration.ofMillis(100));
		}
		if (this.requestsInFlight >= this.context.limits().maximumRequestsInFlight()) {
			return new Outcome.NotRun(RefusalReason.LIMIT_REACHED,
					"this gateway has " + this.requestsInFlight + " requests in flight, which is its limit",
					Duration.ofSeconds(1));
		}
		return SubmissionValidator.validate(submission, configuration);
	}

	// An earlier submission with the same key may have run, so a refusal that is not
	// caused by the request itself is sent only after the claim was checked.
	private void refuse(ReceivedRequest received, Outcome.NotRun refusal, Configuration configuration,
			FlowableEmitter<ResponseEvent> emitter) {
		PipelineDefinition pipeline = configuration.pipelines().get(received.submission().pipeline());
		if (pipeline == null || pipeline.isIdempotent()
				|| SubmissionValidator.validate(received.submission(), configuration) != null) {
			refuse(received, refusal, emitter);
			return;
		}
		if (this.refusalChecksInFlight >= MAXIMUM_CONCURRENT_REFUSAL_CHECKS) {
			refuse(received, ClaimSession.uncheckedOutcome(refusal), emitter);
			return;
		}
		this.refusalChecksInFlight++;
		Single<Outcome> checked = new ClaimSession(this.context, received.id(), pipeline, received.submission(),
				inputHash(received.submission()))
			.confirm(refusal)
			.onErrorReturn((failure) -> ClaimSession.uncheckedOutcome(refusal));
		checked.subscribe((outcome) -> {
			this.refusalChecksInFlight--;
			refuse(received, outcome, emitter);
			completeIfIdle();
		});
	}

	private void refuse(ReceivedRequest received, Outcome refusal, FlowableEmitter<ResponseEvent> emitter) {
		recordOutcome(received, refusal, 0, false, List.of());
		emitter.onNext(new ResponseEvent.Finished(received.id(), refusal));
		emitter.onComplete();
	}

	private void requestEnded(ReceivedRequest received, RequestExecution execution) {
		Outcome answer = execution.answer();
		boolean withinDeadline = answer instanceof Outcome.Complete
				&& execution.answerMillis() <= execution.budget().toMillis();
		recordOutcome(received, answer, execution.answerMillis(), withinDeadline, execution.attempts());
		this.requestsInFlight--;
		completeIfIdle();
	}

	private void recordOutcome(ReceivedRequest received, Outcome outcome, long totalMillis, boolean withinDeadline,
			List<AttemptRecord> attempts) {
		cacheOutcome(received.id(), outcome);
		String reason = reasonOf(outcome);
		this.meters.counter("magnoliahub.gateway.requests", "outcome", outcome.label(), "reason", reason).increment();
		Submission submission = received.submission();
		this.recorder.record(new RequestRecord(received.id(), this.context.name(), submission.workspace(),
				submission.pipeline(), submission.requestClass(), received.receivedAt(), totalMillis, outcome.label(),
				reason, detailOf(outcome), withinDeadline, attempts));
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

	private void cacheOutcome(RequestId id, Outcome outcome) {
		this.recentOutcomes.put(id, outcome);
		if (this.recentOutcomes.size() > MAXIMUM_RECENT_OUTCOMES) {
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
		if (this.draining && this.requestsInFlight == 0 && this.unfinishedClaims == 0
				&& this.refusalChecksInFlight == 0) {
			this.idle.onComplete();
		}
	}

	private record ReceivedRequest(RequestId id, Submission submission, Instant receivedAt) {

	}

}
