package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.magnoliahub.serving.ResponseHead;

/**
 * Receives the response to one request, on the event loop. The last call is either
 * {@code onEnd} or {@code onFailure}. Neither is called after a cancellation.
 */
interface ResponseListener {

	/**
	 * Called with the head of the response.
	 * @param response the head as received
	 * @param head the parsed head
	 */
	void onHead(HttpResponse response, ResponseHead head);

	/**
	 * Called with a part of the body.
	 * @param data the bytes, valid only during the call
	 */
	void onBody(ByteBuf data);

	/**
	 * Called when the response is complete.
	 */
	void onEnd();

	/**
	 * Called when no complete response will arrive.
	 * @param sent whether any byte of the request may have reached the peer
	 * @param reason the reason, for logs
	 */
	void onFailure(boolean sent, String reason);

}
