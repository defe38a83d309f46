package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.ResponseHead;

/**
 * Asks an engine for its state, which it reports without a slot, to tell apart an engine
 * that holds back a stream from one that is gone.
 */
final class LivenessProbe implements ResponseListener {

	private static final String CONNECTION_GROUP = "liveness";

	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	/** Time that the engine is given, in milliseconds. */
	private static final long BUDGET_MILLIS = 500;

	private static final long MAXIMUM_RESPONSE_BYTES = 1_048_576;

	private static final int MISDIRECTED = 421;

	private static final byte[] NO_BODY = new byte[0];

	private @Nullable HttpExchange exchange;

	private boolean answered;

	private boolean misdirected;

	private LivenessProbe() {
	}

	/**
	 * Sends a probe.
	 * @param context the services of the gateway
	 * @param endpoint the engine
	 * @return the probe
	 */
	static LivenessProbe send(EntryContext context, EndpointState endpoint) {
		LivenessProbe probe = new LivenessProbe();
		EndpointRecord record = endpoint.record();
		HttpCall call = new HttpCall(record.address(), CONNECTION_GROUP, HttpMethod.GET,
				PlatformHeaders.ENGINE_STATE_PATH, PlatformHeaders.ownCallHeaders(record.id(), BUDGET_MILLIS), NO_BODY,
				0, CONNECT_TIMEOUT_MILLIS, MAXIMUM_RESPONSE_BYTES, null,
				context.endpointNotices().stateInterceptor(endpoint));
		probe.exchange = context.httpClient().send(call, probe);
		return probe;
	}

	/**
	 * Returns whether the engine has given a sign of life. An engine that accepts the
	 * connection and closes it is alive, too.
	 * @return whether it answered or ended the call
	 */
	boolean isAnswered() {
		return this.answered && !this.misdirected;
	}

	void cancel() {
		if (this.exchange != null) {
			this.exchange.cancel();
		}
	}

	@Override
	public void onHead(HttpResponse response, ResponseHead head) {
		// Another server at the address proves that the engine is gone.
		this.misdirected = head.status() == MISDIRECTED;
		this.answered = true;
	}

	@Override
	public void onBody(ByteBuf data) {
	}

	@Override
	public void onEnd() {
	}

	@Override
	public void onFailure(boolean sent, String reason) {
		this.answered |= sent;
	}

}
