package org.magnoliahub.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.serving.CallKind;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointChoice;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.RendezvousHash;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.ServiceDefinition;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.StageAdmission;
import org.magnoliahub.serving.WorkspaceKey;

/**
 * One request of a caller from its arrival to its answer: route, workspace, stages,
 * attempts at endpoints, and the final answer.
 * <p>
 * A request that cannot be repeated is sent again only if nothing of it can have run: the
 * connection did not open, or the endpoint proved that it did not run it. The statuses
 * that promise "not run" are given only while that holds for all attempts.
 */
final class RequestFlow implements CallerExchange.Observer {

	private static final byte[] EMPTY = new byte[0];

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	/** Sends of one request, refused ones included. */
	private static final int MAXIMUM_SENDS = 4;

	private static final String NO_CAPACITY = "no_capacity";

	/** All endpoints of the service asked for a pause. */
	private static final String PAUSED = "endpoints_paused";

	/** When a caller may come back after a fault that another endpoint may not have. */
	private static final long RETRY_MILLIS = 300;

	/** When a caller may come back after a burst, in the order of its length. */
	private static final long CAPACITY_RETRY_MILLIS = 2_500;

	/** Least time that is worth another attempt. */
	private static final long LEAST_MILLIS = 30;

	private final EntryContext context;

	private final StageCoordinator stages;

	private final CallerExchange exchange;

	private final CallerRequest request;

	private final Runnable ended;

	private final RequestTelemetry journal;

	private @Nullable Route route;

	private @Nullable String workspace;

	private long deadlineMillis;

	private String service = "";

	private boolean engine;

	private @Nullable StageExecution stageRun;

	private @Nullable Attempt attempt;

	private final Set<String> tried = new HashSet<>();

	private int sends;

	private int possibleRuns;

	private boolean stagesRepeated;

	private @Nullable StreamPosition relay;

	private Disposable deadline = Disposable.disposed();

	private boolean over;

	private long firstAnswerMillis = -1;

	RequestFlow(EntryContext context, StageCoordinator stages, CallerExchange exchange, Runnable ended) {
		this.context = context;
		this.stages = stages;
		this.exchange = exchange;
		this.request = PlatformHeaders.callerRequest(exchange.headers());
		this.ended = ended;
		this.journal = new RequestTelemetry(context, this.request, exchange.arrivedMillis());
	}

	void start() {
		Optional<ServingConfiguration> configuration = this.context.configuration();
		if (configuration.isEmpty() || !this.context.directory().isLoaded()) {
			refuse(UNAVAILABLE, "configuration_unknown", 500);
			return;
		}
		String host = this.exchange.headers().get(HttpHeaderNames.HOST);
		Optional<Route> found = configuration.get().route((host != null) ? host : "", this.exchange.target());
		if (found.isEmpty()) {
			refuse(NOT_FOUND, "no_route", -1);
			return;
		}
		Route matched = found.get();
		this.route = matched;
		this.journal.setRoute(matched);
		if (!authorize(configuration.get(), matched)) {
			refuse(UNAUTHORIZED, "unknown_key", -1);
			return;
		}
		if (!this.context.stopPlan().accepts(matched.kind(), this.context.now())) {
			refuse(UNAVAILABLE, "stopping", 0);
			return;
		}
		admit(configuration.get(), matched);
	}

	private boolean authorize(ServingConfiguration configuration, Route matched) {
		if (!configuration.keysRequired()) {
			return true;
		}
		String key = this.request.apiKey();
		Optional<WorkspaceKey> known = (key != null) ? configuration.workspace(key) : Optional.empty();
		this.workspace = known.map(WorkspaceKey::workspace).orElse(null);
		return known.isPresent() || matched.anonymous();
	}

	private void admit(ServingConfiguration configuration, Route matched) {
		long budget = matched.timeoutMillis();
		if (this.request.timeoutMillis() >= 0) {
			budget = Math.min(budget, this.request.timeoutMillis());
		}
		this.deadlineMillis = this.exchange.arrivedMillis() + budget;
		this.service = matched.selectService(RendezvousHash.hash(this.request.requestId()));
		this.engine = configuration.service(this.service).map(ServiceDefinition::engine).orElse(false);
		this.journal.admitted(this.workspace, budget, configuration.version());
		this.exchange.setObserver(this);
		this.deadline = this.context.timers()
			.schedule(Duration.ofMillis(this.deadlineMillis - this.context.now()), this::onDeadline);
		startStages(matched);
	}

	private void startStages(Route matched) {
		if (matched.stages().isEmpty() || this.request.pieces().stream().noneMatch((pieces) -> pieces > 0)) {
			dispatch();
			return;
		}
		String zone = this.engine
				? this.context.selector().expectedEngineZone(this.service, this.request, this.context.now()) : "";
		long patienceEnds = this.exchange.arrivedMillis() + matched.firstEventTimeoutMillis();
		long expiresAt = Math.min(this.deadlineMillis, patienceEnds);
		StageExecution run = new StageExecution(this.context, this.stages, matched, this.request,
				this.exchange.arrivedMillis(), expiresAt, zone, new StageListener());
		this.stageRun = run;
		if (this.context.directory().pausedMillis(this.service, this.context.now()) > run.leastMillis()) {
			giveUp(PAUSED);
			return;
		}
		if (this.sends > 0 || this.stagesRepeated || mayStart(matched, run, expiresAt)) {
			run.start();
			return;
		}
		giveUp(NO_CAPACITY);
	}

	private boolean mayStart(Route matched, StageExecution run, long expiresAt) {
		long now = this.context.now();
		StageAdmission.Estimate admission = new StageAdmission.Estimate(run.expectedWaitMillis(), run.chainMillis(),
				run.leastMillis(), this.exchange.arrivedMillis() + matched.latencyObjectiveMillis() - now,
				expiresAt - now, matched.priority());
		boolean starts = StageAdmission.isAdmitted(admission);
		this.journal.stagesDecided(admission, starts);
		return starts;
	}

	private void dispatch() {
		if (this.over) {
			return;
		}
		long now = this.context.now();
		Map<String, Long> inputZones = (this.stageRun != null) ? this.stageRun.inputZones() : Map.of();
		Optional<EndpointChoice> choice = this.engine
				? this.context.selector().selectEngine(this.service, this.request, inputZones, this.tried, now)
				: this.context.selector().selectEndpoint(this.service, this.tried, now);
		if (choice.isEmpty()) {
			giveUp((this.context.directory().pausedMillis(this.service, now) > 0) ? PAUSED : "no_endpoint");
			return;
		}
		if (this.deadlineMillis - now < LEAST_MILLIS) {
			giveUp("no_time");
			return;
		}
		send(choice.get(), now);
	}

	private void send(EndpointChoice choice, long now) {
		String id = choice.endpoint().record().id();
		this.tried.add(id);
		this.sends++;
		if (this.sends == 1) {
			this.context.retryBudget().recordRequest(this.service, now);
		}
		this.journal.sent(choice, this.sends);
		StreamPosition stream = this.relay;
		String lastEventId = (stream != null && stream.lastEventId() != null) ? stream.lastEventId()
				: this.request.lastEventId();
		List<String> inputs = (this.stageRun != null) ? this.stageRun.requestInputs() : List.of();
		HttpHeaders headers = PlatformHeaders.endpointHeaders(this.exchange.headers(), id, this.deadlineMillis - now,
				this.workspace, inputs, lastEventId);
		Attempt next = new Attempt(this.context, this, choice, isStreaming(), isRepeatable());
		this.attempt = next;
		next.send(this.exchange, this.request, headers, now);
	}

	private boolean isStreaming() {
		return this.route != null && this.route.kind() == CallKind.STREAMING;
	}

	private boolean isRepeatable() {
		return this.route != null && this.route.isRetryable();
	}

	/**
	 * Returns whether a silent attempt could be replaced by another one.
	 * @return whether another endpoint may get the request
	 */
	boolean mayReplaceSilentAttempt() {
		return this.route != null && isRepeatable() && this.possibleRuns + 1 < this.route.maximumEndpoints()
				&& this.sends < MAXIMUM_SENDS
				&& this.context.retryBudget().availableRetries(this.service, this.context.now()) >= 1;
	}

	/**
	 * Called when an attempt ended and nothing of it ran.
	 * @param reason what happened
	 * @param arrived whether the endpoint saw the request
	 */
	void onNotRun(String reason, boolean arrived) {
		boolean again = this.sends < MAXIMUM_SENDS && timeLeft()
				&& (!arrived || this.context.retryBudget().tryAcquire(this.service, this.context.now()));
		logFailedAttempt(reason, false, again ? "send again" : "give up");
		this.attempt = null;
		if (again) {
			dispatch();
			return;
		}
		giveUp(reason);
	}

	/**
	 * Called when an endpoint proved that results of stages are gone.
	 */
	void onInputsGone() {
		logFailedAttempt("inputs_gone", false, this.stagesRepeated ? "give up" : "repeat stages");
		this.attempt = null;
		Route matched = this.route;
		if (this.stagesRepeated || matched == null || this.stageRun == null || !timeLeft()) {
			giveUp("inputs_gone");
			return;
		}
		this.stagesRepeated = true;
		this.stageRun.cancel();
		this.tried.clear();
		startStages(matched);
	}

	/**
	 * Called when an attempt ended and may have run.
	 * @param reason what happened
	 */
	void onUnknown(String reason) {
		this.possibleRuns++;
		boolean again = this.route != null && isRepeatable() && this.possibleRuns < this.route.maximumEndpoints()
				&& this.sends < MAXIMUM_SENDS && timeLeft()
				&& this.context.retryBudget().tryAcquire(this.service, this.context.now());
		logFailedAttempt(reason, true, again ? "send again" : "give up");
		this.attempt = null;
		if (!again) {
			giveUp(reason);
			return;
		}
		StreamPosition stream = this.relay;
		if (stream != null) {
			this.journal.resumed(stream.lastEventId());
		}
		if (this.stageRun != null && this.stageRun.isReleased() && this.route != null) {
			startStages(this.route);
			return;
		}
		dispatch();
	}

	private void logFailedAttempt(String reason, boolean mayHaveRun, String next) {
		this.journal.attemptFailed(endpointId(), this.sends, reason, mayHaveRun, next);
	}

	private boolean timeLeft() {
		return this.deadlineMillis - this.context.now() > LEAST_MILLIS;
	}

	private void giveUp(String reason) {
		if (this.over) {
			return;
		}
		if (this.relay != null) {
			fail(0, reason);
			return;
		}
		if (this.possibleRuns > 0) {
			fail(BAD_GATEWAY, reason);
			return;
		}
		refuse(UNAVAILABLE, reason, returnMillis(reason));
	}

	private long returnMillis(String reason) {
		long paused = this.context.directory().pausedMillis(this.service, this.context.now());
		long stagesPaused = (this.stageRun != null) ? this.stageRun.pausedMillis() : 0;
		long usual = reason.equals(NO_CAPACITY) ? CAPACITY_RETRY_MILLIS : RETRY_MILLIS;
		return Math.max(usual, Math.max(paused, stagesPaused));
	}

	private void onDeadline() {
		if (this.over) {
			return;
		}
		if (this.relay != null) {
			fail(0, "deadline");
			return;
		}
		if (this.possibleRuns > 0 || (this.attempt != null && this.attempt.mayHaveRun())) {
			fail(GATEWAY_TIMEOUT, "deadline");
			return;
		}
		refuse(UNAVAILABLE, "deadline", RETRY_MILLIS);
	}

	private void refuse(int status, String reason, long retryAfterMillis) {
		HttpHeaders headers = PlatformHeaders.ownAnswerHeaders(this.request.requestId());
		if (retryAfterMillis >= 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / 1000.0));
		}
		this.journal.refused(status, reason, retryAfterMillis);
		end();
		this.exchange.respond(status, headers, EMPTY);
	}

	/**
	 * Ends the request after it may have run.
	 * @param status the status, or zero to break a started stream off
	 * @param reason what happened
	 */
	private void fail(int status, String reason) {
		this.journal.failed(status, reason);
		end();
		if (status == 0) {
			this.exchange.abort();
			return;
		}
		this.exchange.respond(status, PlatformHeaders.ownAnswerHeaders(this.request.requestId()), EMPTY);
	}

	/**
	 * Passes a whole answer on.
	 * @param status the status
	 * @param headers headers of the endpoint
	 * @param body the body
	 */
	void onAnswer(int status, HttpHeaders headers, byte[] body) {
		logAnswered(status);
		end();
		this.exchange.respond(status, PlatformHeaders.callerHeaders(headers), body);
	}

	/**
	 * Passes whole events of a stream on.
	 * @param status the status
	 * @param headers headers of the endpoint, used for the first events only
	 * @param events the events
	 * @return whether the caller takes more at present
	 */
	boolean onEvents(int status, HttpHeaders headers, byte[] events) {
		StreamPosition stream = this.relay;
		if (stream == null) {
			stream = new StreamPosition();
			this.relay = stream;
			this.firstAnswerMillis = this.journal.age();
			this.context.metrics().firstEvent(this.firstAnswerMillis);
			this.exchange.startStream(status, PlatformHeaders.callerHeaders(headers));
			if (this.stageRun != null) {
				this.stageRun.release();
			}
		}
		stream.passed(events);
		this.journal.eventsPassed();
		return this.exchange.write(events);
	}

	/**
	 * Returns the stream that has begun.
	 * @return the stream, or {@code null} if no event was passed on
	 */
	@Nullable StreamPosition relay() {
		return this.relay;
	}

	/**
	 * Ends a stream that is complete.
	 * @param status the status
	 * @param headers headers of the endpoint, used if no event was passed on
	 * @param rest bytes behind the last whole event
	 */
	void onStreamEnd(int status, HttpHeaders headers, byte[] rest) {
		if (this.relay == null) {
			onAnswer(status, headers, rest);
			return;
		}
		if (rest.length > 0) {
			this.exchange.write(rest);
		}
		logAnswered(status);
		end();
		this.exchange.endStream();
	}

	private void logAnswered(int status) {
		this.journal.answered(status, this.firstAnswerMillis, endpointId());
	}

	private String endpointId() {
		return (this.attempt != null) ? this.attempt.endpointId() : "";
	}

	private void end() {
		this.over = true;
		this.deadline.dispose();
		this.exchange.setObserver(null);
		if (this.attempt != null) {
			this.attempt.cancel();
			this.attempt = null;
		}
		if (this.stageRun != null) {
			this.stageRun.cancel();
		}
		this.ended.run();
	}

	@Override
	public void onDisconnected() {
		if (this.over) {
			return;
		}
		this.journal.cancelled((this.attempt != null) ? "sent" : "waiting");
		end();
	}

	@Override
	public void onWritable() {
		if (this.attempt != null) {
			this.attempt.continueReading();
		}
	}

	private final class StageListener implements StageExecution.Listener {

		@Override
		public void onStageEnd(String stageService, int pieces, long startedMillis, PieceResult last) {
			RequestFlow.this.journal.stageEnded(stageService, pieces, startedMillis, last);
		}

		@Override
		public void onComplete() {
			dispatch();
		}

		@Override
		public void onFailed(String reason) {
			giveUp(reason);
		}

		@Override
		public void onInputGone() {
			Route matched = RequestFlow.this.route;
			if (RequestFlow.this.stagesRepeated || matched == null) {
				giveUp("inputs_gone");
				return;
			}
			RequestFlow.this.stagesRepeated = true;
			if (RequestFlow.this.stageRun != null) {
				RequestFlow.this.stageRun.cancel();
			}
			startStages(matched);
		}

	}

}
