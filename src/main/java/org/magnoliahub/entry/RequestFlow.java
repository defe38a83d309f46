package org.magnoliahub.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.serving.CallKind;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointChoice;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.PromptSegment;
import org.magnoliahub.serving.RendezvousHash;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.ServiceDefinition;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.WorkspaceKey;

/**
 * Handles one request of a caller from its arrival to its response: resolves route and
 * workspace, executes the stages, sends attempts to endpoints and relays the response.
 * <p>
 * A non-retryable request is sent again only if it cannot have been executed: the
 * connection did not open, or the endpoint proved that it did not execute the request.
 * Statuses that tell the caller "not executed" are returned only while this holds for
 * every attempt.
 */
final class RequestFlow implements CallerExchange.Observer {

	private static final byte[] EMPTY_BODY = new byte[0];

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	/** Limit on the sends of one request, including those that an endpoint rejected. */
	private static final int MAXIMUM_SENDS = 4;

	/** Minimum remaining time for which another attempt is sent. */
	private static final long MINIMUM_ATTEMPT_MILLIS = 30;

	private final EntryContext context;

	private final StageCoordinator stages;

	private final CallerExchange exchange;

	private final CallerRequest request;

	private final Consumer<RequestFlow> endCallback;

	private final RequestTelemetry telemetry;

	private final RequestFaultBarrier faultBarrier;

	private @Nullable Route route;

	private @Nullable String workspace;

	private AllowedZones allowedZones = AllowedZones.ALL;

	private long deadlineMillis;

	private String serviceName = "";

	private boolean engineService;

	private @Nullable RequestStages requestStages;

	private @Nullable Attempt attempt;

	private final SilentAttempts silentAttempts;

	private final Set<String> triedEndpoints = new HashSet<>();

	private int sendCount;

	private int possibleExecutions;

	private boolean triesBlockedPrompt;

	private @Nullable StreamPosition streamPosition;

	private Disposable deadlineTimer = Disposable.disposed();

	private boolean ended;

	private long firstEventMillis = -1;

	RequestFlow(EntryContext context, StageCoordinator stages, CallerExchange exchange,
			Consumer<RequestFlow> endCallback) {
		this.context = context;
		this.stages = stages;
		this.exchange = exchange;
		this.request = PlatformHeaders.callerRequest(exchange.headers());
		this.endCallback = endCallback;
		this.silentAttempts = new SilentAttempts(context, this);
		this.telemetry = new RequestTelemetry(context, this.request, exchange.arrivedMillis());
		this.faultBarrier = new RequestFaultBarrier(context.log(), context.metrics(), this.request.requestId(), this);
	}

	/**
	 * Returns what runs each step of the request that is caused by an event.
	 * @return the barrier against unexpected exceptions
	 */
	RequestFaultBarrier faultBarrier() {
		return this.faultBarrier;
	}

	void start() {
		this.faultBarrier.run(this::resolveRoute);
	}

	private void resolveRoute() {
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
		this.telemetry.setRoute(matched);
		if (!authorize(configuration.get(), matched)) {
			refuse(UNAUTHORIZED, "unknown_key", -1);
			return;
		}
		if (!matched.stages().isEmpty() && this.request.hasTooManyPieces()) {
			refuse(BAD_REQUEST, "too_many_pieces", -1);
			return;
		}
		this.serviceName = matched.selectService(RendezvousHash.hash(this.request.requestId()));
		long expectedMillis = this.context.selector().longestMillis(this.serviceName);
		if (!this.context.gracefulShutdown().accepts(matched.kind(), expectedMillis, this.context.now())) {
			refuse(UNAVAILABLE, "stopping", 0);
			return;
		}
		admit(configuration.get(), matched);
	}

	private boolean authorize(ServingConfiguration configuration, Route matched) {
		String key = configuration.keysRequired() ? this.request.apiKey() : null;
		Optional<WorkspaceKey> match = (key != null) ? configuration.workspace(key) : Optional.empty();
		this.workspace = match.map(WorkspaceKey::workspace).orElse(null);
		this.allowedZones = this.context.directory()
			.placement()
			.allowedZones(matched.allowedRegions(), match.map(WorkspaceKey::allowedRegions).orElse(Set.of()));
		return match.isPresent() || matched.anonymous() || !configuration.keysRequired();
	}

	private void admit(ServingConfiguration configuration, Route matched) {
		long budget = matched.timeoutMillis();
		if (this.request.timeoutMillis() >= 0) {
			budget = Math.min(budget, this.request.timeoutMillis());
		}
		this.deadlineMillis = this.exchange.arrivedMillis() + budget;
		this.engineService = configuration.service(this.serviceName).map(ServiceDefinition::engine).orElse(false);
		this.telemetry.admitted(this.workspace, budget, configuration.version());
		this.exchange.setObserver(this);
		this.deadlineTimer = this.context.timers()
			.schedule(Duration.ofMillis(this.deadlineMillis - this.context.now()),
					() -> this.faultBarrier.run(this::onDeadline));
		startStages(matched);
	}

	/**
	 * Runs the stages, if there are any, and then sends the request.
	 * @param matched the route
	 */
	void startStages(Route matched) {
		if (endIfPromptBlocked()) {
			return;
		}
		if (matched.stages().isEmpty() || this.request.pieces().stream().noneMatch((pieces) -> pieces > 0)) {
			dispatch();
			return;
		}
		String zone = this.engineService ? this.context.selector()
			.expectedEngineZone(this.serviceName, this.request, this.allowedZones, this.context.now()) : "";
		RequestStages present = this.requestStages;
		if (present == null) {
			present = new RequestStages(this.context, this.stages, this, matched, this.request, this.telemetry,
					this.exchange.arrivedMillis(), this.serviceName, this.allowedZones);
			this.requestStages = present;
		}
		present.start(zone, stagesExpireAt(matched), this.sendCount == 0);
	}

	// The time for the first event does not limit stages that run again for a stream that
	// has begun.
	private long stagesExpireAt(Route matched) {
		if (this.streamPosition != null) {
			return this.deadlineMillis;
		}
		long firstEventDeadline = this.exchange.arrivedMillis() + matched.firstEventTimeoutMillis();
		return Math.min(this.deadlineMillis, firstEventDeadline);
	}

	/**
	 * Sends the request to an endpoint.
	 */
	void dispatch() {
		if (this.ended || endIfPromptBlocked()) {
			return;
		}
		long now = this.context.now();
		Optional<EndpointChoice> choice = selectEndpoint(now);
		if (choice.isEmpty()) {
			endUnanswered(
					RefusalReason.withoutEndpoint(this.context.directory(), this.serviceName, this.allowedZones, now));
			return;
		}
		if (this.deadlineMillis - now < MINIMUM_ATTEMPT_MILLIS) {
			endUnanswered("no_time");
			return;
		}
		send(choice.get(), now);
	}

	// Returns whether the request has ended because a part of its prompt crashes
	// endpoints.
	private boolean endIfPromptBlocked() {
		boolean mayTry = this.sendCount == 0 && this.streamPosition == null;
		if (!this.engineService || (mayTry && this.triesBlockedPrompt)) {
			return false;
		}
		PromptSegment part = this.context.crashingPrompts().blockedPart(this.request.promptSegments());
		if (part == null) {
			return false;
		}
		this.triesBlockedPrompt = mayTry && this.context.crashingPrompts().tryAgain(this.request.promptSegments());
		this.telemetry.promptBlocked(part, this.triesBlockedPrompt);
		if (!this.triesBlockedPrompt) {
			endUnanswered(RefusalReason.PROMPT_BLOCKED);
		}
		return !this.triesBlockedPrompt;
	}

	private Optional<EndpointChoice> selectEndpoint(long now) {
		if (!this.engineService) {
			return this.context.selector()
				.selectEndpoint(this.serviceName, this.triedEndpoints, this.allowedZones, now);
		}
		Map<String, Long> inputBytesByZone = (this.requestStages != null) ? this.requestStages.inputBytesByZone()
				: Map.of();
		return this.context.selector()
			.selectEngine(this.serviceName, this.request, inputBytesByZone, this.triedEndpoints, this.allowedZones,
					now);
	}

	private void send(EndpointChoice choice, long now) {
		String id = choice.endpoint().record().id();
		this.triedEndpoints.add(id);
		this.sendCount++;
		if (this.sendCount == 1) {
			this.context.retryBudget().recordRequest(this.serviceName, now);
		}
		this.telemetry.sent(choice, this.sendCount);
		StreamPosition position = this.streamPosition;
		String lastEventId = (position != null && position.lastEventId() != null) ? position.lastEventId()
				: this.request.lastEventId();
		List<String> inputs = (this.requestStages != null) ? this.requestStages.requestInputs() : List.of();
		HttpHeaders headers = PlatformHeaders.endpointHeaders(this.exchange.headers(), id, this.deadlineMillis - now,
				this.workspace, inputs, lastEventId);
		Attempt next = new Attempt(this.context, this, choice, isStreaming(), isRetryable());
		this.attempt = next;
		this.silentAttempts.limitOverlap();
		next.send(this.exchange, this.request, headers, now);
	}

	/**
	 * Returns whether the response is a stream of events.
	 * @return whether the kind of the route is streaming
	 */
	boolean isStreaming() {
		return this.route != null && this.route.kind() == CallKind.STREAMING;
	}

	private boolean isRetryable() {
		return this.route != null && this.route.isRetryable()
				&& (this.streamPosition == null || this.streamPosition.isResumable());
	}

	/**
	 * Returns whether the request could be retried if the outcome of the current attempt
	 * remained unknown.
	 * @return whether a retry at another endpoint is permitted
	 */
	boolean mayRetryUnknownOutcome() {
		return this.route != null && isRetryable() && this.possibleExecutions + 1 < this.route.maximumEndpoints()
				&& this.sendCount < MAXIMUM_SENDS
				&& this.context.retryBudget().availableRetries(this.serviceName, this.context.now()) >= 1;
	}

	/**
	 * Returns the attempt that is in progress, besides those that are silent.
	 * @return the attempt, or {@code null} if the request is not at another endpoint
	 */
	@Nullable Attempt currentAttempt() {
		return this.attempt;
	}

	/**
	 * Returns whether a silent attempt can be replaced. An endpoint that is only slow is
	 * better than one that is ejected or unresponsive, and than none.
	 * @return whether a retry is permitted and a healthy endpoint is available for it
	 */
	boolean mayReplaceSilentAttempt() {
		return mayRetryUnknownOutcome() && hasTimeForAttempt()
				&& selectEndpoint(this.context.now()).filter((choice) -> !choice.isLastResort()).isPresent();
	}

	/**
	 * Sends the request to another endpoint because the current attempt is silent, after
	 * its stages have run again if their results were released. The silent attempt
	 * continues if it responds first, the stages fail or the other endpoints refuse.
	 */
	void replaceSilentAttempt() {
		Attempt silent = this.attempt;
		if (silent == null) {
			return;
		}
		boolean repeatsStages = this.requestStages != null && this.requestStages.areRequestInputsReleased();
		this.silentAttempts.keep(silent, repeatsStages);
		onOutcomeUnknown("silent");
	}

	/**
	 * Returns the attempts that were replaced because they are silent.
	 * @return keeps the attempts
	 */
	SilentAttempts silentAttempts() {
		return this.silentAttempts;
	}

	private boolean resumeSilentAttempt() {
		Attempt silent = this.silentAttempts.take();
		if (silent == null) {
			return false;
		}
		this.possibleExecutions--;
		continueWith(silent, this.silentAttempts.areStagesRepeated());
		return true;
	}

	/**
	 * Continues with an attempt that was replaced because it was silent, and cancels the
	 * one that replaced it.
	 * @param silent the attempt
	 */
	void resume(Attempt silent) {
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		else {
			// No other endpoint has got the request yet.
			this.possibleExecutions--;
		}
		continueWith(silent, true);
	}

	private void continueWith(Attempt silent, boolean restartsTimeout) {
		this.attempt = silent;
		if (this.silentAttempts.areStagesRepeated() && this.requestStages != null) {
			this.requestStages.cancel();
		}
		silent.continueWaiting(restartsTimeout);
	}

	/**
	 * Called when an attempt ended and the request was not executed.
	 * @param reason the reason to report
	 * @param reachedEndpoint whether the request reached the endpoint
	 */
	void onNotExecuted(String reason, boolean reachedEndpoint) {
		boolean retry = this.sendCount < MAXIMUM_SENDS && hasTimeForAttempt()
				&& (!reachedEndpoint || this.context.retryBudget().tryAcquire(this.serviceName, this.context.now()));
		reportFailedAttempt(reason, false, retry ? "send again" : "give up");
		this.attempt = null;
		if (retry) {
			dispatch();
			return;
		}
		endUnanswered(reason);
	}

	/**
	 * Called when an endpoint reported that stage results are no longer available.
	 */
	void onInputsLost() {
		RequestStages present = this.requestStages;
		boolean repeated = present != null && present.areRepeated();
		reportFailedAttempt(RefusalReason.INPUTS_GONE, false, repeated ? "give up" : "repeat stages");
		this.attempt = null;
		if (resumeSilentAttempt()) {
			return;
		}
		Route matched = this.route;
		if (matched == null || present == null || repeated || !hasTimeForAttempt()) {
			endUnanswered(RefusalReason.INPUTS_GONE);
			return;
		}
		present.prepareRepeat();
		this.triedEndpoints.clear();
		startStages(matched);
	}

	/**
	 * Called when an attempt ended and the request may have been executed.
	 * @param reason the reason to report
	 */
	void onOutcomeUnknown(String reason) {
		this.possibleExecutions++;
		boolean retry = this.route != null && isRetryable() && this.possibleExecutions < this.route.maximumEndpoints()
				&& this.sendCount < MAXIMUM_SENDS && hasTimeForAttempt()
				&& this.context.retryBudget().tryAcquire(this.serviceName, this.context.now());
		reportFailedAttempt(reason, true, retry ? "send again" : "give up");
		this.attempt = null;
		if (!retry) {
			endUnanswered(reason);
			return;
		}
		StreamPosition position = this.streamPosition;
		if (position != null) {
			this.telemetry.resumed(position.lastEventId());
		}
		if (this.requestStages != null && this.requestStages.areRequestInputsReleased() && this.route != null) {
			startStages(this.route);
			return;
		}
		dispatch();
	}

	/**
	 * Called when an endpoint has broken off an attempt before its answer, or as it
	 * began.
	 * @param endpoint the record of the endpoint
	 */
	void onBrokenOff(EndpointRecord endpoint) {
		if (this.engineService) {
			this.context.crashingPrompts().onBrokenOff(endpoint, this.request.promptSegments());
		}
	}

	private void reportFailedAttempt(String reason, boolean mayHaveExecuted, String next) {
		this.telemetry.attemptFailed(endpointId(), this.sendCount, reason, mayHaveExecuted, next);
	}

	private boolean hasTimeForAttempt() {
		return this.deadlineMillis - this.context.now() > MINIMUM_ATTEMPT_MILLIS;
	}

	/**
	 * Ends the request without a response from an endpoint, unless a silent endpoint may
	 * still respond: aborts a started stream, fails with 502 if the request may have been
	 * executed, and refuses it otherwise.
	 * @param reason the reason to report
	 */
	void endUnanswered(String reason) {
		if (this.ended || resumeSilentAttempt()) {
			return;
		}
		if (this.streamPosition != null) {
			fail(0, reason);
			return;
		}
		if (this.possibleExecutions > 0) {
			fail(BAD_GATEWAY, reason);
			return;
		}
		refuse(UNAVAILABLE, reason, retryAfterMillis(reason));
	}

	private long retryAfterMillis(String reason) {
		long paused = this.context.directory().pausedMillis(this.serviceName, this.allowedZones, this.context.now());
		long stagesPaused = (this.requestStages != null) ? this.requestStages.pausedMillis() : 0;
		long minimum = RefusalReason.minimumRetryAfterMillis(reason);
		long blocked = reason.equals(RefusalReason.PROMPT_BLOCKED)
				? this.context.crashingPrompts().retryAfterMillis(this.request.promptSegments()) : 0;
		return Math.max(Math.max(minimum, blocked), Math.max(paused, stagesPaused));
	}

	private void onDeadline() {
		if (this.ended) {
			return;
		}
		if (this.streamPosition != null) {
			fail(0, "deadline");
			return;
		}
		if (this.possibleExecutions > 0 || (this.attempt != null && this.attempt.mayHaveExecuted())) {
			fail(GATEWAY_TIMEOUT, "deadline");
			return;
		}
		refuse(UNAVAILABLE, "deadline", RefusalReason.RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns whether an endpoint may be executing the request, or has executed it.
	 * @return whether the request must not be refused
	 */
	boolean mayHaveExecuted() {
		return this.possibleExecutions > 0 || this.attempt != null;
	}

	/**
	 * Returns whether a part of a stream has been relayed.
	 * @return whether the request can only be completed or aborted
	 */
	boolean hasStreamStarted() {
		return this.streamPosition != null;
	}

	/**
	 * Ends the request before its time, because the gateway cannot complete it. The
	 * outcome is as for {@link #endUnanswered}.
	 * @param reason the reason to report
	 */
	void endEarly(String reason) {
		this.silentAttempts.release();
		if (this.attempt != null) {
			this.possibleExecutions++;
		}
		endUnanswered(reason);
	}

	/**
	 * Ends the request after an unexpected exception. The exception may have been raised
	 * when the end of the request was reported, or by its answer; an exchange that has an
	 * answer ignores another one.
	 */
	void endAfterFault() {
		if (!this.ended) {
			endEarly("internal_error");
			return;
		}
		if (this.streamPosition != null) {
			this.exchange.abort();
			return;
		}
		this.exchange.respond(BAD_GATEWAY, PlatformHeaders.ownAnswerHeaders(""), EMPTY_BODY);
	}

	/**
	 * Closes the caller's connection unless the request has been answered.
	 */
	void abort() {
		this.exchange.abort();
	}

	/**
	 * Refuses a request that was not executed.
	 * @param status the response status
	 * @param reason the reason to report
	 * @param retryAfterMillis the value of Retry-After in milliseconds, negative for none
	 */
	private void refuse(int status, String reason, long retryAfterMillis) {
		HttpHeaders headers = PlatformHeaders.ownAnswerHeaders(this.request.requestId());
		if (retryAfterMillis >= 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / 1000.0));
		}
		this.telemetry.refused(status, reason, retryAfterMillis);
		end();
		this.exchange.respond(status, headers, EMPTY_BODY);
	}

	/**
	 * Ends a request that may have been executed.
	 * @param status the response status, or zero to abort a stream that has started
	 * @param reason the reason to report
	 */
	private void fail(int status, String reason) {
		this.telemetry.failed(status, reason);
		end();
		if (status == 0) {
			this.exchange.abort();
			return;
		}
		this.exchange.respond(status, PlatformHeaders.ownAnswerHeaders(this.request.requestId()), EMPTY_BODY);
	}

	/**
	 * Relays a complete response to the caller.
	 * @param status the response status
	 * @param headers the headers from the endpoint
	 * @param body the response body
	 */
	void onResponse(int status, HttpHeaders headers, byte[] body) {
		reportAnswered(status);
		end();
		this.exchange.respond(status, PlatformHeaders.callerHeaders(headers), body);
	}

	/**
	 * Relays complete events of a stream to the caller.
	 * @param status the response status
	 * @param headers the headers from the endpoint, used only with the first events
	 * @param events the events
	 * @return whether the caller's connection is writable
	 */
	boolean onEvents(int status, HttpHeaders headers, byte[] events) {
		StreamPosition position = this.streamPosition;
		if (position == null) {
			position = new StreamPosition(headers.get(HttpHeaderNames.CONTENT_TYPE));
			this.streamPosition = position;
			this.firstEventMillis = this.telemetry.ageMillis();
			this.context.metrics().firstEvent(this.firstEventMillis);
			this.exchange.startStream(status, PlatformHeaders.callerHeaders(headers));
			if (this.requestStages != null) {
				this.requestStages.releaseRequestInputs();
			}
		}
		this.silentAttempts.release();
		position.advance(events);
		this.telemetry.eventsRelayed();
		return this.exchange.write(events);
	}

	/**
	 * Returns the position in the stream that is being relayed.
	 * @return the position, or {@code null} if no event was relayed yet
	 */
	@Nullable StreamPosition streamPosition() {
		return this.streamPosition;
	}

	/**
	 * Called when the endpoint has completed a stream.
	 * @param status the response status
	 * @param headers the headers from the endpoint, used if no event was relayed
	 * @param rest the bytes after the last event, such as comments
	 */
	void onStreamEnd(int status, HttpHeaders headers, byte[] rest) {
		if (this.streamPosition == null) {
			onResponse(status, headers, rest);
			return;
		}
		if (rest.length > 0) {
			this.exchange.write(rest);
		}
		reportAnswered(status);
		end();
		this.exchange.endStream();
	}

	/**
	 * Called before the end of a response is relayed.
	 * @param endsWithConnection whether its end is that of the connection
	 * @param restBytes the number of bytes behind its last complete event
	 */
	void onResponseEnd(boolean endsWithConnection, int restBytes) {
		this.telemetry.responseEnded(endsWithConnection, restBytes);
	}

	private void reportAnswered(int status) {
		if (this.engineService && status < BAD_REQUEST) {
			this.context.crashingPrompts().onAnswered(this.request.promptSegments());
		}
		this.telemetry.answered(status, this.firstEventMillis, endpointId());
	}

	private String endpointId() {
		return (this.attempt != null) ? this.attempt.endpointId() : "";
	}

	private void end() {
		this.ended = true;
		this.endCallback.accept(this);
		this.deadlineTimer.dispose();
		this.exchange.setObserver(null);
		this.silentAttempts.release();
		if (this.attempt != null) {
			this.attempt.cancel();
			this.attempt = null;
		}
		if (this.requestStages != null) {
			this.requestStages.cancel();
		}
	}

	@Override
	public void onDisconnected() {
		this.faultBarrier.run(this::cancel);
	}

	private void cancel() {
		if (this.ended) {
			return;
		}
		this.telemetry.cancelled((this.attempt != null) ? "sent" : "waiting");
		end();
	}

	@Override
	public void onWritable() {
		if (this.attempt != null) {
			this.faultBarrier.run(this.attempt::resumeReading);
		}
	}

}
