package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the bytes received on a connection that are not part of a response body: heads,
 * chunk framing, blank lines and responses to other requests. Without the limit, a peer
 * that sends such bytes endlessly would occupy the connection until the deadline of the
 * request.
 */
final class ResponseOverheadLimit extends ChannelInboundHandlerAdapter {

	private static final long MAXIMUM_OVERHEAD_BYTES = 262_144;

	/** Framing that is allowed per body byte; covers a body in chunks of one byte. */
	private static final long FRAMING_FACTOR = 8;

	/**
	 * Limit on the framing of one response. Each chunk costs processor time regardless of
	 * its size, so with the factor alone a peer that sends tiny chunks could occupy the
	 * event loop for seconds.
	 */
	private static final long MAXIMUM_FRAMING_BYTES = 1_048_576;

	private final Runnable onExceeded;

	private boolean awaitingResponse;

	private long receivedBytes;

	private long bodyBytes;

	/**
	 * Creates the limit for a connection.
	 * @param onExceeded called when the limit is exceeded; closes the connection
	 */
	ResponseOverheadLimit(Runnable onExceeded) {
		this.onExceeded = onExceeded;
	}

	/**
	 * Starts counting for the response to a request that is being sent.
	 */
	void beginResponse() {
		this.awaitingResponse = true;
		this.receivedBytes = 0;
		this.bodyBytes = 0;
	}

	/**
	 * Ends counting because the response is complete. Any further byte exceeds the limit.
	 */
	void endResponse() {
		this.awaitingResponse = false;
	}

	/**
	 * Counts decoded bytes of the response body.
	 * @param bytes the number of bytes
	 */
	void addBodyBytes(int bytes) {
		this.bodyBytes += bytes;
	}

	/**
	 * Returns the size of the response body so far.
	 * @return the number of bytes
	 */
	long bodyBytes() {
		return this.bodyBytes;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!this.awaitingResponse) {
			((ByteBuf) message).release();
			this.onExceeded.run();
			return;
		}
		this.receivedBytes += ((ByteBuf) message).readableBytes();
		context.fireChannelRead(message);
		long overhead = this.receivedBytes - this.bodyBytes;
		if (this.awaitingResponse && overhead > MAXIMUM_OVERHEAD_BYTES + allowedFramingBytes()) {
			this.onExceeded.run();
		}
	}

	private long allowedFramingBytes() {
		return Math.min(MAXIMUM_FRAMING_BYTES, FRAMING_FACTOR * this.bodyBytes);
	}

}
