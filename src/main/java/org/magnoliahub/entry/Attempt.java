package org.magnoliahub.entry;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.BodyMemory;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointCall;
import org.magnoliahub.serving.EndpointChoice;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.ResponseHead;

/**
 * One attempt to have an endpoint execute a request. Evaluates the response and reports
 * the outcome to the {@link RequestFlow}.
 */
final class Attempt implements ResponseListener, BodyMemory.Holder {

	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	private static final String CONNECTION_GROUP = "request";

	/** Maximum idle time of a reused connection for a retryable request. */
	private static final long RETRYABLE_IDLE_MILLIS = 900;

	/**
	 * Maximum idle time of a reused connection for other requests, which cannot be sent
	 * again if the endpoint closes the connection at the same moment.
	 */
	private static final long NON_RETRYABLE_IDLE_MILLIS = 400;

	private static final int MAXIMUM_BODY_BYTES = 4_194_304;

	/** Longer events are treated as unterminated. */
	private static final int MAXIMUM_EVENT_BYTES = 262_144;

	/** Time after the first event in which the answer still counts as beginning. */
	private static final long ANSWER_BEGIN_MILLIS = 1_000;

	/** Interval at which a silent attempt is checked that cannot be replaced yet. */
	private static final long MINIMUM_CHECK_INTERVAL_MILLIS = 50;

	/**
	 * Ejection time of an endpoint that is not the addressed one, until the directory has
	 * its current record.
	 */
	private static final long MISDIRECTED_EJECTION_MILLIS = 3_000;

	private static final int MISDIRECTED = 421;

	private static final int CONFLICT = 409;

	private static final int SERVER_ERROR = 500;

	private final EntryContext context;

	private final RequestFlow flow;

	private final EndpointChoice choice;

	private final boolean streaming;

	/** Whether the response is being relayed event by event. */
	private boolean eventStream;

	private final boolean retryable;

	/** Whether events of an earlier attempt have been relayed. */
	private final boolean resuming;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteBuf body = Unpooled.buffer(0);

	private @Nullable HttpExchange exchange;

	private @Nullable EndpointCall call;

	private @Nullable ResponseHead head;

	private @Nullable HttpHeaders headers;

	private Disposable timeoutCheck = Disposable.disposed();

	private boolean expectsBody = true;

	private long sentMillis;

	private long lastReceivedMillis;

	private long firstEventMillis = Long.MAX_VALUE;

	private boolean ended;

	private boolean readingSuspended;

	/** Whether an event behind the last one of an earlier attempt was relayed. */
	private boolean continued;

	Attempt(EntryContext context, RequestFlow flow, EndpointChoice choice, boolean streaming, boolean retryable) {
		this.context = context;
		this.flow = flow;
		this.choice = choice;
		this.streaming = streaming;
		this.retryable = retryable;
		this.resuming = flow.streamPosition() != null;
	}

	EndpointState endpoint() {
		return this.choice.endpoint();
	}

	/**
	 * Returns whether the endpoint has begun a usable answer.
	 * @return whether the head of a signed success has arrived
	 */
	boolean isAnswerBeginning() {
		return this.head != null && isUsable(this.head);
	}

	/**
	 * Returns whether the response is relayed event by event.
	 * @return whether its head has announced events
	 */
	boolean isEventStream() {
		return this.eventStream;
	}

	private static boolean isUsable(ResponseHead responseHead) {
		return responseHead.isSuccess() && responseHead.signed() && !responseHead.contentEncoded();
	}

	String endpointId() {
		return this.choice.endpoint().record().id();
	}

	/**
	 * Returns whether the endpoint may have executed the request.
	 * @return whether the attempt is in progress
	 */
	boolean mayHaveExecuted() {
		return !this.ended;
	}

	void send(CallerExchange caller, CallerRequest request, HttpHeaders requestHeaders, long now) {
		this.sentMillis = now;
		this.lastReceivedMillis = now;
		this.expectsBody = !caller.method().equals(HttpMethod.HEAD);
		this.call = this.choice.beginCall(request.promptSegments(), now);
		HttpCall httpCall = new HttpCall(this.choice.endpoint().record().address(), CONNECTION_GROUP, caller.method(),
				caller.target(), requestHeaders, caller.body(),
				this.retryable ? RETRYABLE_IDLE_MILLIS : NON_RETRYABLE_IDLE_MILLIS, CONNECT_TIMEOUT_MILLIS,
				Long.MAX_VALUE, request.requestId(),
				this.context.endpointNotices().interceptor(this.choice.endpoint(), ResponseHead::isFromEndpoint));
		this.exchange = this.context.httpClient()
			.send(httpCall, new GuardedResponseListener(this, this.flow.faultBarrier()));
		if (this.retryable && !this.ended) {
			scheduleTimeoutCheck();
		}
	}

	private void scheduleTimeoutCheck() {
		long timeoutMillis = responseTimeoutMillis();
		long wait = Math.max(MINIMUM_CHECK_INTERVAL_MILLIS,
				this.lastReceivedMillis + timeoutMillis - this.context.now());
		this.timeoutCheck = this.context.timers()
			.schedule(Duration.ofMillis(wait), () -> this.flow.faultBarrier().run(this::checkTimeout));
	}

	private long responseTimeoutMillis() {
		if (this.head != null && this.streaming && this.flow.streamPosition() != null) {
			return ResponseTimeout.betweenEventsMillis();
		}
		return ResponseTimeout.beforeResponseMillis(this.streaming, this.choice.expectedMillis());
	}

	private void checkTimeout() {
		if (this.ended) {
			return;
		}
		boolean timedOut = this.context.now() - this.lastReceivedMillis >= responseTimeoutMillis();
		if (timedOut && !this.readingSuspended && this.flow.mayReplaceSilentAttempt()) {
			this.choice.endpoint().recordFailure(this.context.now(), true);
			this.flow.replaceSilentAttempt();
			return;
		}
		scheduleTimeoutCheck();
	}

	/**
	 * Waits for the response again after another endpoint was tried.
	 * @param restartsTimeout whether the timeout begins again, so that stages that fail
	 * are not repeated at once
	 */
	void continueWaiting(boolean restartsTimeout) {
		this.timeoutCheck.dispose();
		if (restartsTimeout) {
			this.lastReceivedMillis = this.context.now();
		}
		scheduleTimeoutCheck();
	}

	@Override
	public void onHead(HttpResponse response, ResponseHead responseHead) {
		this.eventStream = this.streaming && responseHead.isSuccess() && this.expectsBody
				&& StreamPosition.mayContainEvents(response.headers().get(HttpHeaderNames.CONTENT_TYPE));
		// The head of a stream may be long before its first event.
		if (!this.eventStream || !isUsable(responseHead)) {
			this.flow.silentAttempts().onResponding(this, isUsable(responseHead));
		}
		if (this.ended) {
			return;
		}
		long now = this.context.now();
		this.lastReceivedMillis = now;
		this.head = responseHead;
		this.headers = response.headers();
		if (responseHead.load() != null && this.choice.endpoint().recordLoad(responseHead.load(), now)) {
			logBalancedLoad(now);
		}
		if (this.call != null && responseHead.notExecuted()) {
			this.call.recordRejection(now);
		}
		else if (this.call != null && !this.eventStream) {
			this.call.recordFirstResponse(now);
		}
		if (responseHead.isSuccess() && (!responseHead.signed() || responseHead.contentEncoded())) {
			rejectResponse("answer without signature");
			return;
		}
		StreamPosition position = this.flow.streamPosition();
		if (this.resuming && responseHead.isSuccess() && position != null
				&& !position.hasContentType(response.headers().get(HttpHeaderNames.CONTENT_TYPE))) {
			rejectResponse("answer of another content type");
		}
	}

	private void logBalancedLoad(long now) {
		EndpointState endpoint = this.choice.endpoint();
		this.context.log()
			.event(EntryEvent.BALANCED_LOAD)
			.field("endpoint", endpoint.record().id())
			.field("service", endpoint.record().service())
			.field("state", endpoint.statesSlowdown(now) ? "begun" : "ended")
			.field("slowdown_percent", endpoint.slowdownPercent(now))
			.write();
	}

	private void rejectResponse(String reason) {
		this.choice.endpoint().recordFailure(this.context.now(), true);
		cancel();
		if (!this.flow.silentAttempts().forget(this)) {
			this.flow.onOutcomeUnknown(reason);
		}
	}

	@Override
	public void onBody(ByteBuf data) {
		if (this.ended || this.head == null || this.headers == null) {
			return;
		}
		if (!this.eventStream) {
			// Body bytes do not extend the response timeout, so that a body that never
			// ends times out like a response that never starts.
			if (this.body.readableBytes() + data.readableBytes() > MAXIMUM_BODY_BYTES) {
				rejectResponse("answer too large");
				return;
			}
			this.body.writeBytes(data);
			holdMemory(this.body.readableBytes());
			return;
		}
		this.lastReceivedMillis = this.context.now();
		byte[] events = this.splitter.add(data);
		if (this.splitter.incompleteBytes() > MAXIMUM_EVENT_BYTES) {
			rejectResponse("event too large");
			return;
		}
		holdMemory(this.splitter.incompleteBytes());
		if (events.length == 0 || this.ended) {
			return;
		}
		this.flow.silentAttempts().onResponding(this, true);
		if (!this.ended) {
			relayEvents(events, this.head, this.headers);
		}
	}

	// May end this attempt, or others that hold more.
	private void holdMemory(long bytes) {
		this.context.responseMemory().hold(this, endpointId(), bytes, bytes);
	}

	private void relayEvents(byte[] events, ResponseHead responseHead, HttpHeaders endpointHeaders) {
		if (this.call != null) {
			this.call.recordFirstResponse(this.lastReceivedMillis);
		}
		this.firstEventMillis = Math.min(this.firstEventMillis, this.lastReceivedMillis);
		byte[] relayed = events;
		if (this.resuming && !this.continued) {
			relayed = StreamPosition.withoutPreamble(events);
			if (relayed.length == 0) {
				return;
			}
			StreamPosition position = this.flow.streamPosition();
			if (position != null && !position.isContinuedBy(relayed)) {
				rejectResponse("stream does not go on where it stood");
				return;
			}
			this.continued = true;
		}
		if (!this.flow.onEvents(responseHead.status(), endpointHeaders, relayed) && this.exchange != null) {
			this.readingSuspended = true;
			this.exchange.setReading(false);
		}
	}

	void resumeReading() {
		if (this.readingSuspended && this.exchange != null) {
			this.readingSuspended = false;
			this.lastReceivedMillis = this.context.now();
			this.exchange.setReading(true);
		}
	}

	@Override
	public void onEnd() {
		ResponseHead responseHead = this.head;
		HttpHeaders endpointHeaders = this.headers;
		if (this.ended || responseHead == null || endpointHeaders == null) {
			return;
		}
		this.flow.silentAttempts().onResponding(this, responseHead.isSuccess());
		if (this.ended) {
			return;
		}
		finish();
		long now = this.context.now();
		if (responseHead.notExecuted()) {
			onNotExecuted(responseHead, now);
			return;
		}
		if (responseHead.status() >= SERVER_ERROR || responseHead.impliesNotExecuted()) {
			onErrorResponse(responseHead, endpointHeaders, now);
			return;
		}
		if (!responseHead.signed()) {
			this.choice.endpoint().recordFailure(now, true);
			this.flow.onOutcomeUnknown("answer without signature");
			return;
		}
		this.flow.onResponseEnd(responseHead.endsWithConnection(), this.splitter.incompleteBytes());
		if (this.eventStream && isCutOff(responseHead)) {
			reportBrokenOff();
			this.choice.endpoint().recordFailure(now, true);
			this.flow.onOutcomeUnknown("stream ended inside an event");
			return;
		}
		this.choice.endpoint().recordSuccess(now);
		if (this.resuming && !this.continued) {
			// Covers errors, and a success without an event behind the last relayed one.
			this.flow.onOutcomeUnknown("status " + responseHead.status() + " without further events");
			return;
		}
		if (this.eventStream) {
			this.flow.onStreamEnd(responseHead.status(), endpointHeaders, this.splitter.incompleteEvent());
			return;
		}
		this.context.selector().recordLatency(this.choice.endpoint().record().service(), now - this.sentMillis);
		this.flow.onResponse(responseHead.status(), endpointHeaders, ByteBufUtil.getBytes(this.body));
	}

	// An end of the connection before the first event proves nothing either.
	private boolean isCutOff(ResponseHead responseHead) {
		return this.splitter.endsInsideEvent()
				|| (responseHead.endsWithConnection() && !this.splitter.hasFoundEvents());
	}

	private void onNotExecuted(ResponseHead responseHead, long now) {
		if (responseHead.status() == CONFLICT) {
			this.flow.onInputsLost();
			return;
		}
		this.choice.endpoint().recordFailure(now, false);
		if (responseHead.status() == MISDIRECTED) {
			this.choice.endpoint().eject(now, MISDIRECTED_EJECTION_MILLIS);
		}
		this.flow.onNotExecuted("refused with " + responseHead.status(), true);
	}

	private void onErrorResponse(ResponseHead responseHead, HttpHeaders endpointHeaders, long now) {
		this.choice.endpoint().recordFailure(now, false);
		boolean unproven = responseHead.impliesNotExecuted();
		if (this.resuming || this.flow.mayRetryUnknownOutcome() || unproven || !responseHead.signed()) {
			// A status that implies "not executed" is not relayed without the proof, and
			// no status is relayed after events.
			this.flow.onOutcomeUnknown("status " + responseHead.status());
			return;
		}
		this.flow.onResponse(responseHead.status(), endpointHeaders, ByteBufUtil.getBytes(this.body));
	}

	@Override
	public void onFailure(boolean sent, String reason) {
		if (this.ended) {
			return;
		}
		finish();
		if (sent) {
			reportBrokenOff();
		}
		// A request that was withheld because the endpoint is draining, requested a pause
		// or is in an evacuated zone is no failure of the endpoint.
		if (sent || this.context.directory().accepts(this.choice.endpoint(), this.context.now())) {
			this.choice.endpoint().recordFailure(this.context.now(), true);
		}
		if (this.flow.silentAttempts().forget(this)) {
			return;
		}
		if (sent) {
			this.flow.onOutcomeUnknown(reason);
			return;
		}
		this.flow.onNotExecuted(reason, false);
	}

	// An endpoint that has gone on for a while after the first event does not crash by
	// it.
	private void reportBrokenOff() {
		if (this.context.now() - this.firstEventMillis < ANSWER_BEGIN_MILLIS) {
			this.flow.onBrokenOff(this.choice.endpoint().record());
		}
	}

	/**
	 * Cancels the attempt and closes its connection.
	 */
	void cancel() {
		if (this.ended) {
			return;
		}
		finish();
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	@Override
	public void evict() {
		this.flow.faultBarrier().run(() -> rejectResponse("no memory for its answer"));
	}

	private void finish() {
		this.ended = true;
		this.context.responseMemory().release(this);
		this.timeoutCheck.dispose();
		if (this.call != null) {
			this.call.end();
		}
	}

}
