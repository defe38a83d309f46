package org.magnoliahub.entry;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/**
 * One request sent by this gateway, and its response.
 */
final class HttpExchange {

	private final HttpCall call;

	private final ResponseListener listener;

	private @Nullable Channel channel;

	private boolean ended;

	HttpExchange(HttpCall call, ResponseListener listener) {
		this.call = call;
		this.listener = listener;
	}

	HttpCall call() {
		return this.call;
	}

	ResponseListener listener() {
		return this.listener;
	}

	void setConnectingChannel(Channel opening) {
		this.channel = opening;
	}

	void setConnectedChannel(Channel open) {
		this.channel = open;
	}

	boolean isEnded() {
		return this.ended;
	}

	void finish() {
		if (!this.ended) {
			this.ended = true;
			this.listener.onEnd();
		}
	}

	void fail(boolean sent, String reason) {
		if (!this.ended) {
			this.ended = true;
			this.listener.onFailure(sent, reason);
		}
	}

	/**
	 * Cancels the exchange and closes the connection. The listener is not called again.
	 */
	void cancel() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	/**
	 * Suspends or resumes reading the response.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		if (!this.ended && this.channel != null) {
			this.channel.config().setAutoRead(reading);
		}
	}

}
