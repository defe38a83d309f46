package org.magnoliahub.okhttp;

import java.io.IOException;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;
import org.jspecify.annotations.Nullable;

/**
 * Records how far the request of one call was sent.
 */
public final class RequestTransmission extends EventListener {

	private volatile boolean started;

	private volatile boolean failed;

	private RequestTransmission() {
	}

	/**
	 * Attaches a new record to a request. A request can be sent only once with it.
	 * @param request the request
	 * @return the record
	 */
	public static RequestTransmission attachTo(Request.Builder request) {
		RequestTransmission transmission = new RequestTransmission();
		request.tag(RequestTransmission.class, transmission);
		return transmission;
	}

	static EventListener listenerFor(Call call) {
		RequestTransmission transmission = find(call.request());
		return (transmission != null) ? transmission : EventListener.NONE;
	}

	static @Nullable RequestTransmission find(Request request) {
		return request.tag(RequestTransmission.class);
	}

	/**
	 * Returns whether any byte of the request may have reached the peer.
	 * @return whether sending has started
	 */
	public boolean hasStarted() {
		return this.started;
	}

	/**
	 * Returns whether the connection broke before the whole request was written.
	 * @return whether sending has failed
	 */
	boolean hasFailed() {
		return this.failed;
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.started = true;
	}

	@Override
	public void requestFailed(Call call, IOException cause) {
		this.failed = true;
	}

}
