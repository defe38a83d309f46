package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Bounds the bytes of a connection that do not become part of an answer's body: heads,
 * framing, blank lines, and answers to other requests. Without it a peer that sends such
 * bytes without end occupies the connection until the request's deadline.
 */
final class ResponseOverheadLimit extends ChannelInboundHandlerAdapter {

	private static final long MAXIMUM_OVERHEAD_BYTES = 262_144;

	/** Framing of a body in chunks of one byte, as a multiple of the body. */
	private static final long FRAMING_FACTOR = 8;

	/**
	 * Most framing of one answer. Every chunk costs processor time however short it is,
	 * so a factor alone lets a peer that sends tiny chunks occupy the event loop for
	 * seconds.
	 */
	private static final long MAXIMUM_FRAMING_BYTES = 1_048_576;

	private final Runnable exceeded;

	private boolean expecting;

	private long received;

	private long accepted;

	/**
	 * Creates the limit of a connection.
	 * @param exceeded called when the limit is exceeded; closes the connection
	 */
	ResponseOverheadLimit(Runnable exceeded) {
		this.exceeded = exceeded;
	}

	/**
	 * Notes that a request is sent, to which an answer is due.
	 */
	void expect() {
		this.expecting = true;
		this.received = 0;
		this.accepted = 0;
	}

	/**
	 * Notes that the answer is complete; further bytes close the connection.
	 */
	void complete() {
		this.expecting = false;
	}

	/**
	 * Notes bytes of the body that were passed on.
	 * @param bytes number of bytes
	 */
	void accept(int bytes) {
		this.accepted += bytes;
	}

	/**
	 * Returns how much of the body was passed on.
	 * @return bytes
	 */
	long accepted() {
		return this.accepted;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!this.expecting) {
			((ByteBuf) message).release();
			this.exceeded.run();
			return;
		}
		this.received += ((ByteBuf) message).readableBytes();
		context.fireChannelRead(message);
		long overhead = this.received - this.accepted;
		if (this.expecting && overhead > MAXIMUM_OVERHEAD_BYTES + framing()) {
			this.exceeded.run();
		}
	}

	private long framing() {
		return Math.min(MAXIMUM_FRAMING_BYTES, FRAMING_FACTOR * this.accepted);
	}

}
