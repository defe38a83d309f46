package org.magnoliahub.entry;

import java.io.IOException;
import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.jspecify.annotations.Nullable;

/**
 * A connection between two gateways that carries length-prefixed messages in both
 * directions.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {

	private static final int MAXIMUM_FRAME_BYTES = 1_048_576;

	/**
	 * Maximum number of bytes in the write buffer. A peer that reads too slowly is
	 * disconnected.
	 */
	private static final long MAXIMUM_PENDING_BYTES = 4_194_304;

	private final Listener listener;

	private @Nullable Channel channel;

	PeerConnection(Listener listener) {
		this.listener = listener;
	}

	void install(Channel opened) {
		install(opened, MAXIMUM_FRAME_BYTES);
	}

	/**
	 * Adds the handlers of a connection.
	 * @param opened the connection
	 * @param maximumFrameBytes maximum size of a message until large ones are allowed
	 */
	void install(Channel opened, int maximumFrameBytes) {
		this.channel = opened;
		opened.pipeline().addLast(frameDecoder(maximumFrameBytes), this);
	}

	private static LengthFieldBasedFrameDecoder frameDecoder(int maximumFrameBytes) {
		return new LengthFieldBasedFrameDecoder(maximumFrameBytes, 0, Integer.BYTES, 0, Integer.BYTES);
	}

	/**
	 * Allows the largest messages, for a client that has stated the name of a gateway.
	 */
	void allowLargeFrames() {
		channel().pipeline()
			.replace(LengthFieldBasedFrameDecoder.class, "largeFrames", frameDecoder(MAXIMUM_FRAME_BYTES));
	}

	Channel channel() {
		return Objects.requireNonNull(this.channel);
	}

	void send(PeerMessage message) {
		Channel open = this.channel;
		if (open == null || !open.isActive()) {
			return;
		}
		if (open.unsafe().outboundBuffer() != null
				&& open.unsafe().outboundBuffer().totalPendingWriteBytes() > MAXIMUM_PENDING_BYTES) {
			open.close();
			return;
		}
		byte[] bytes = PeerCodec.encode(message);
		ByteBuf frame = Unpooled.buffer(Integer.BYTES + bytes.length);
		frame.writeInt(bytes.length).writeBytes(bytes);
		open.writeAndFlush(frame);
	}

	void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
		PeerMessage message;
		try {
			message = PeerCodec.decode(ByteBufUtil.getBytes(frame));
		}
		catch (IOException ex) {
			context.close();
			return;
		}
		if (message != null) {
			this.listener.onMessage(this, message);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.listener.onClosed(this);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	/**
	 * Receives the events of a connection, on the event loop.
	 */
	interface Listener {

		/**
		 * Called when a message arrives.
		 * @param source the connection
		 * @param message the message
		 */
		void onMessage(PeerConnection source, PeerMessage message);

		/**
		 * Called once, after all other calls, when the connection is closed.
		 * @param source the connection
		 */
		void onClosed(PeerConnection source);

	}

}
