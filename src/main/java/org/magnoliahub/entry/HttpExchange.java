package org.magnoliahub.entry;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/**
 * One request of this gateway and its answer.
 */
final class HttpExchange {

	private final HttpCall call;

	private final ResponseListener listener;

	private @Nullable Channel channel;

	private boolean over;

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

	void connecting(Channel opening) {
		this.channel = opening;
	}

	void attached(Channel open) {
		this.channel = open;
	}

	boolean isOver() {
		return this.over;
	}

	void finish() {
		if (!this.over) {
			this.over = true;
			this.listener.onEnd();
		}
	}

	void fail(boolean sent, String reason) {
		if (!this.over) {
			this.over = true;
			this.listener.onFailure(sent, reason);
		}
	}

	/**
	 * Gives the answer up and closes the connection; the listener hears nothing more.
	 */
	void cancel() {
		if (this.over) {
			return;
		}
		this.over = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	/**
	 * Stops or continues to read the answer.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		if (!this.over && this.channel != null) {
			this.channel.config().setAutoRead(reading);
		}
	}

}
