package org.magnoliahub.entry;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Decodes requests and rejects those with both {@code Content-Length} and
 * {@code Transfer-Encoding: chunked}. While it is suspended, received bytes are kept
 * undecoded, because a few bytes may decode to large objects, and reading stops when they
 * exceed a limit.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	/**
	 * Undecoded bytes of a suspended connection from which no more are read. Below it the
	 * connection is read, so that its end is noticed during a request.
	 */
	static final int MAXIMUM_QUEUED_BYTES = 16_384;

	private static final int MAXIMUM_LINE_BYTES = 8_192;

	private final Listener listener;

	private @Nullable ChannelHandlerContext context;

	private boolean decoding;

	private boolean suspended;

	/**
	 * Creates a decoder.
	 * @param maximumHeaderBytes the maximum size of the headers
	 * @param listener observes the received bytes
	 */
	StrictRequestDecoder(int maximumHeaderBytes, Listener listener) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES).setMaxHeaderSize(maximumHeaderBytes));
		this.listener = listener;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) throws Exception {
		this.context = added;
		super.handlerAdded(added);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (message instanceof ByteBuf bytes) {
			this.listener.onBytesReceived(bytes);
		}
		decodeMore(context, message);
	}

	private void decodeMore(ChannelHandlerContext context, Object message) throws Exception {
		this.decoding = true;
		try {
			super.channelRead(context, message);
		}
		finally {
			this.decoding = false;
		}
		this.listener.onBytesDecoded();
		boolean mayRead = !this.suspended || actualReadableBytes() < MAXIMUM_QUEUED_BYTES;
		if (context.channel().config().isAutoRead() != mayRead) {
			context.channel().config().setAutoRead(mayRead);
		}
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (!this.suspended) {
			super.decode(context, buffer, out);
		}
	}

	/**
	 * Stops decoding behind the messages that have been decoded.
	 */
	void suspend() {
		this.suspended = true;
	}

	/**
	 * Decodes the bytes that were received in the meantime, unless the decoder has been
	 * suspended by one of its own messages, behind which it goes on.
	 */
	void resume() {
		this.suspended = false;
		ChannelHandlerContext current = this.context;
		if (current == null || this.decoding || current.isRemoved()) {
			return;
		}
		try {
			decodeMore(current, Unpooled.EMPTY_BUFFER);
		}
		catch (Exception ex) {
			current.fireExceptionCaught(ex);
		}
	}

	/**
	 * Returns how many received bytes have not been decoded.
	 * @return the size, in bytes
	 */
	int queuedBytes() {
		return actualReadableBytes();
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
	}

	/**
	 * Observes the bytes of a connection.
	 */
	interface Listener {

		/**
		 * Called before received bytes are decoded.
		 * @param bytes the bytes, not to be changed
		 */
		default void onBytesReceived(ByteBuf bytes) {
		}

		/**
		 * Called when the received bytes have been decoded as far as possible.
		 */
		default void onBytesDecoded() {
		}

	}

}
