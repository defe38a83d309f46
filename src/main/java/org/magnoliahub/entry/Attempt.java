package org.magnoliahub.entry;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointCall;
import org.magnoliahub.serving.EndpointChoice;
import org.magnoliahub.serving.ResponseHead;

/**
 * One sending of a request to an endpoint, and how its answer is judged.
 */
final class Attempt implements ResponseListener {

	private static final int CONNECT_MILLIS = 300;

	/** Longest idle time of a connection for a request that may be repeated. */
	private static final long IDLE_MILLIS = 900;

	/** The same for others, which cannot be sent again if the endpoint just closed it. */
	private static final long IDLE_ONCE_MILLIS = 400;

	private static final int MAXIMUM_BODY_BYTES = 4_194_304;

	/** An event that is longer does not end. */
	private static final int MAXIMUM_EVENT_BYTES = 262_144;

	/** A silent endpoint is left after this many times the expected time. */
	private static final double SILENCE_FACTOR = 4;

	private static final long SILENCE_FLOOR_MILLIS = 250;

	private static final long ENGINE_SILENCE_FLOOR_MILLIS = 600;

	/** Longest pause within a stream that may go on elsewhere. */
	private static final long STREAM_SILENCE_MILLIS = 1_000;

	/** An endpoint that is not the one that was meant gets nothing until it is listed. */
	private static final long MISDIRECTED_PAUSE_MILLIS = 3_000;

	private static final int MISDIRECTED = 421;

	private static final int CONFLICT = 409;

	private static final int SERVER_ERROR = 500;

	private static final int UNAVAILABLE = 503;

	private final EntryContext context;

	private final RequestFlow flow;

	private final EndpointChoice choice;

	private final boolean streaming;

	private final boolean repeatable;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteBuf body = Unpooled.buffer(0);

	private @Nullable HttpExchange exchange;

	private @Nullable EndpointCall call;

	private @Nullable ResponseHead head;

	private @Nullable HttpHeaders headers;

	private Disposable silence = Disposable.disposed();

	private long sentMillis;

	private long lastHeardMillis;

	private boolean over;

	private boolean paused;

	private boolean continued;

	Attempt(EntryContext context, RequestFlow flow, EndpointChoice choice, boolean streaming, boolean repeatable) {
		this.context = context;
		this.flow = flow;
		this.choice = choice;
		this.streaming = streaming;
		this.repeatable = repeatable;
	}

	String endpointId() {
		return this.choice.endpoint().record().id();
	}

	/**
	 * Returns whether the request may have run at the endpoint.
	 * @return whether it was sent
	 */
	boolean mayHaveRun() {
		return !this.over;
	}

	void send(CallerExchange caller, CallerRequest request, HttpHeaders requestHeaders, long now) {
		this.sentMillis = now;
		this.lastHeardMillis = now;
		this.call = this.choice.beginCall(request.promptSegments(), now);
		HttpCall http = new HttpCall(this.choice.endpoint().record().address(), caller.method(), caller.target(),
				requestHeaders, caller.body(), this.repeatable ? IDLE_MILLIS : IDLE_ONCE_MILLIS, CONNECT_MILLIS,
				Long.MAX_VALUE, (answer) -> request.requestId().equals(answer.requestId()),
				this.context.endpointNotices().interceptor(this.choice.endpoint(), Attempt::isGenuine));
		this.exchange = this.context.httpClient().send(http, this);
		if (this.repeatable && !this.over) {
			scheduleSilenceCheck();
		}
	}

	// An answer without signature or proof may come from something else.
	private static boolean isGenuine(ResponseHead head) {
		return head.signed() || head.notExecuted() || head.status() == UNAVAILABLE;
	}

	private void scheduleSilenceCheck() {
		long limit = silenceLimit();
		long wait = Math.max(20, this.lastHeardMillis + limit - this.context.now());
		this.silence = this.context.timers().schedule(Duration.ofMillis(wait), this::checkSilence);
	}

	private long silenceLimit() {
		if (this.head != null && this.streaming && this.flow.relay() != null) {
			return STREAM_SILENCE_MILLIS;
		}
		long floor = this.streaming ? ENGINE_SILENCE_FLOOR_MILLIS : SILENCE_FLOOR_MILLIS;
		return Math.max(floor, (long) (SILENCE_FACTOR * this.choice.expectedMillis()));
	}

	private void checkSilence() {
		if (this.over) {
			return;
		}
		boolean silent = this.context.now() - this.lastHeardMillis >= silenceLimit();
		if (silent && !this.paused && this.flow.mayReplaceSilentAttempt()) {
			this.choice.endpoint().recordFailure(this.context.now(), true);
			cancel();
			this.flow.onUnknown("silent");
			return;
		}
		scheduleSilenceCheck();
	}

	@Override
	public void onHead(HttpResponse response, ResponseHead read) {
		long now = this.context.now();
		this.lastHeardMillis = now;
		this.head = read;
		this.headers = response.headers();
		if (read.load() != null) {
			this.choice.endpoint().recordLoad(read.load(), now);
		}
		if (this.call != null && read.notExecuted()) {
			this.call.recordRejection(now);
		}
		else if (this.call != null && !(this.streaming && read.isSuccess())) {
			this.call.recordFirstResponse(now);
		}
		if (read.isSuccess() && (!read.signed() || read.contentEncoded())) {
			spoiled("answer without signature");
		}
	}

	private void spoiled(String reason) {
		this.choice.endpoint().recordFailure(this.context.now(), true);
		cancel();
		this.flow.onUnknown(reason);
	}

	@Override
	public void onBody(ByteBuf data) {
		if (this.over || this.head == null || this.headers == null) {
			return;
		}
		if (!(this.streaming && this.head.isSuccess())) {
			// A body that does not end is as silent as one that does not begin.
			if (this.body.readableBytes() + data.readableBytes() > MAXIMUM_BODY_BYTES) {
				spoiled("answer too large");
				return;
			}
			this.body.writeBytes(data);
			return;
		}
		this.lastHeardMillis = this.context.now();
		byte[] events = this.splitter.add(data);
		if (this.splitter.partialBytes() > MAXIMUM_EVENT_BYTES) {
			spoiled("event too large");
			return;
		}
		if (events.length > 0) {
			passOn(events, this.head, this.headers);
		}
	}

	private void passOn(byte[] events, ResponseHead read, HttpHeaders endpointHeaders) {
		if (this.call != null) {
			this.call.recordFirstResponse(this.lastHeardMillis);
		}
		StreamPosition relay = this.flow.relay();
		if (!this.continued && relay != null && !relay.isContinuedBy(events)) {
			spoiled("stream does not go on where it stood");
			return;
		}
		this.continued = true;
		if (!this.flow.onEvents(read.status(), endpointHeaders, events) && this.exchange != null) {
			this.paused = true;
			this.exchange.setReading(false);
		}
	}

	void continueReading() {
		if (this.paused && this.exchange != null) {
			this.paused = false;
			this.lastHeardMillis = this.context.now();
			this.exchange.setReading(true);
		}
	}

	@Override
	public void onEnd() {
		ResponseHead read = this.head;
		HttpHeaders endpointHeaders = this.headers;
		if (this.over || read == null || endpointHeaders == null) {
			return;
		}
		finish();
		long now = this.context.now();
		if (read.notExecuted()) {
			notRun(read, now);
			return;
		}
		if (read.status() >= SERVER_ERROR || isPromise(read.status())) {
			failure(read, endpointHeaders, now);
			return;
		}
		if (!read.signed()) {
			this.choice.endpoint().recordFailure(now, true);
			this.flow.onUnknown("answer without signature");
			return;
		}
		this.choice.endpoint().recordSuccess(now);
		if (this.streaming && read.isSuccess()) {
			this.flow.onStreamEnd(read.status(), endpointHeaders, this.splitter.rest());
			return;
		}
		this.context.selector().recordLatency(this.choice.endpoint().record().service(), now - this.sentMillis);
		this.flow.onAnswer(read.status(), endpointHeaders, ByteBufUtil.getBytes(this.body));
	}

	private void notRun(ResponseHead read, long now) {
		if (read.status() == CONFLICT) {
			this.flow.onInputsGone();
			return;
		}
		this.choice.endpoint().recordFailure(now, false);
		if (read.status() == MISDIRECTED) {
			this.choice.endpoint().eject(now, MISDIRECTED_PAUSE_MILLIS);
		}
		this.flow.onNotRun("refused with " + read.status(), true);
	}

	private void failure(ResponseHead read, HttpHeaders endpointHeaders, long now) {
		this.choice.endpoint().recordFailure(now, false);
		boolean promise = isPromise(read.status());
		if (this.flow.mayReplaceSilentAttempt() || promise || !read.signed()) {
			// A status that promises "not run" without proof is not passed on.
			this.flow.onUnknown("status " + read.status());
			return;
		}
		this.flow.onAnswer(read.status(), endpointHeaders, ByteBufUtil.getBytes(this.body));
	}

	private static boolean isPromise(int status) {
		return status == 408 || status == MISDIRECTED || status == 429 || status == 503;
	}

	@Override
	public void onFailure(boolean sent, String reason) {
		if (this.over) {
			return;
		}
		finish();
		// An endpoint that leaves or asked for a pause was not even tried.
		if (sent || this.choice.endpoint().isAvailable(this.context.now())) {
			this.choice.endpoint().recordFailure(this.context.now(), true);
		}
		if (sent) {
			this.flow.onUnknown(reason);
			return;
		}
		this.flow.onNotRun(reason, false);
	}

	/**
	 * Gives the attempt up and closes its connection.
	 */
	void cancel() {
		if (this.over) {
			return;
		}
		finish();
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	private void finish() {
		this.over = true;
		this.silence.dispose();
		if (this.call != null) {
			this.call.end();
		}
	}

}
