package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.magnoliahub.serving.ResponseHead;

/**
 * Receives the answer to one request, on the event loop. Exactly one of {@code onEnd} and
 * {@code onFailure} is called, last; neither is called after a cancellation.
 */
interface ResponseListener {

	/**
	 * Called with the head of the answer.
	 * @param response the head
	 * @param head what it says
	 */
	void onHead(HttpResponse response, ResponseHead head);

	/**
	 * Called with a part of the body.
	 * @param data the bytes, valid during the call
	 */
	void onBody(ByteBuf data);

	/**
	 * Called when the answer is complete.
	 */
	void onEnd();

	/**
	 * Called when there will be no complete answer.
	 * @param sent whether any byte of the request may have reached the peer
	 * @param reason what happened, for logs
	 */
	void onFailure(boolean sent, String reason);

}
