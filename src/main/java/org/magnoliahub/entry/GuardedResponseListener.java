package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.magnoliahub.serving.ResponseHead;

/**
 * Delegates to another listener behind the barrier of a request, so that an exception of
 * the listener does not reach the connection that reports the response.
 */
final class GuardedResponseListener implements ResponseListener {

	private final ResponseListener delegate;

	private final RequestFaultBarrier barrier;

	GuardedResponseListener(ResponseListener delegate, RequestFaultBarrier barrier) {
		this.delegate = delegate;
		this.barrier = barrier;
	}

	@Override
	public void onHead(HttpResponse response, ResponseHead head) {
		this.barrier.run(() -> this.delegate.onHead(response, head));
	}

	@Override
	public void onBody(ByteBuf data) {
		this.barrier.run(() -> this.delegate.onBody(data));
	}

	@Override
	public void onEnd() {
		this.barrier.run(this.delegate::onEnd);
	}

	@Override
	public void onFailure(boolean sent, String reason) {
		this.barrier.run(() -> this.delegate.onFailure(sent, reason));
	}

}
