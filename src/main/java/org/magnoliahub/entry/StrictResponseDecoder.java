package org.magnoliahub.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.magnoliahub.httpsyntax.StatusCodes;

/**
 * Decodes responses and rejects malformed ones that the library would accept. A rejected
 * response is delivered as a message whose decoder result is a failure.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private boolean headRequest;

	private boolean brokenOff;

	/**
	 * Starts to decode the response to a request.
	 * @param head whether the request has the method HEAD, so that its response has no
	 * body
	 */
	void beginResponse(boolean head) {
		this.headRequest = head;
	}

	/**
	 * Returns whether received bytes have not been decoded.
	 * @return whether bytes are left
	 */
	boolean hasUndecodedBytes() {
		return actualReadableBytes() > 0;
	}

	/**
	 * Returns whether the connection closed before the end of the peer's output. A
	 * response that ends only then has been broken off.
	 * @return whether the channel closed without the end of its input
	 */
	boolean isBrokenOff() {
		return this.brokenOff;
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		this.brokenOff = true;
		super.channelInactive(context);
	}

	@Override
	protected HttpMessage createMessage(String[] statusLine) {
		if (!StatusCodes.isValid(statusLine[1])) {
			throw new IllegalArgumentException("invalid status " + statusLine[1]);
		}
		return super.createMessage(statusLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

}
