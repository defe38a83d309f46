package org.magnoliahub.transport;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.reactivex.rxjava3.core.Scheduler;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.ProtocolVersion;

/**
 * A TCP connection that carries length-prefixed message frames in both directions. Frames
 * are decoded on the network thread and delivered to the listener on the event loop. All
 * methods must be called on the event loop unless stated otherwise.
 */
final class FramedChannel {

	private static final System.Logger LOGGER = System.getLogger(FramedChannel.class.getName());

	private static final int LENGTH_PREFIX_BYTES = Integer.BYTES;

	private final Transport transport;

	private final Channel channel;

	private final Listener listener;

	private final Scheduler.Worker worker;

	/** Size of the decoded frames that the event loop has not processed yet. */
	private final AtomicInteger undeliveredBytes = new AtomicInteger();

	/** Size of the frames that are not written to the socket yet. */
	private final AtomicInteger pendingWriteBytes = new AtomicInteger();

	private final AtomicReference<@Nullable CloseReason> closeReason = new AtomicReference<>();

	/** Whether any bytes were received since the last liveness check. */
	private volatile boolean receivedSinceCheck;

	/** The peer's hello message, {@code null} until it is received. */
	private Message.@Nullable Hello peerHello;

	private boolean closed;

	private final long openedMillis;

	private long lastSentMillis;

	private long lastReceivedMillis;

	private long lastCheckMillis;

	private FramedChannel(Transport transport, Channel channel, Listener listener) {
		this.transport = transport;
		this.channel = channel;
		this.listener = listener;
		this.worker = transport.eventLoop.createWorker();
		long now = transport.timers.milliTime();
		this.openedMillis = now;
		this.lastSentMillis = now;
		this.lastReceivedMillis = now;
		this.lastCheckMillis = now;
	}

	/**
	 * Adds the handlers to a new channel. Called on the network thread.
	 * @param transport the network resources that all connections share
	 * @param channel the new channel
	 * @param listener receives the events of the connection, on the event loop
	 * @return the connection
	 */
	static FramedChannel install(Transport transport, Channel channel, Listener listener) {
		FramedChannel framedChannel = new FramedChannel(transport, channel, listener);
		channel.pipeline()
			.addLast(framedChannel.new InboundActivityTracker())
			.addLast(new LengthFieldBasedFrameDecoder(MessageCodec.MAXIMUM_FRAME_BYTES + LENGTH_PREFIX_BYTES, 0,
					LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES))
			.addLast(framedChannel.new FrameHandler());
		return framedChannel;
	}

	Message.@Nullable Hello peerHello() {
		return this.peerHello;
	}

	boolean isClosed() {
		return this.closed;
	}

	/**
	 * Sends a message. Closes the connection if the message, unless it is a chunk, would
	 * exceed the write limit.
	 * @param message the message
	 * @return whether the message was passed to the channel; delivery is not guaranteed
	 */
	boolean send(Message message) {
		if (this.closed || !this.channel.isActive()) {
			return false;
		}
		if (message instanceof Message.Chunk && this.pendingWriteBytes.get() > Transport.CHUNK_WRITE_LIMIT_BYTES) {
			this.transport.countRefusedMessage("write_buffer");
			return false;
		}
		byte[] frame = this.transport.codec.encode(message);
		if (frame.length > MessageCodec.MAXIMUM_FRAME_BYTES) {
			this.transport.countRefusedMessage("oversized");
			return false;
		}
		int size = frame.length + LENGTH_PREFIX_BYTES;
		if (this.pendingWriteBytes.get() + size > Transport.WRITE_LIMIT_BYTES) {
			// If only this message were dropped, the peer would wait for it. Closing the
			// connection tells the peer that messages were lost.
			close(CloseReason.WRITE_LIMIT);
			return false;
		}
		write(frame, size);
		return true;
	}

	private void write(byte[] frame, int size) {
		this.pendingWriteBytes.addAndGet(size);
		ByteBuf prefix = Unpooled.buffer(LENGTH_PREFIX_BYTES, LENGTH_PREFIX_BYTES).writeInt(frame.length);
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(prefix, Unpooled.wrappedBuffer(frame)))
			.addListener((result) -> this.pendingWriteBytes.addAndGet(-size));
		this.transport.messagesSent.increment();
		this.transport.bytesSent.increment(size);
		this.lastSentMillis = this.transport.timers.milliTime();
	}

	/**
	 * Closes the connection. Safe to call on any thread.
	 * @param reason the reason; only the reason of the first call is recorded
	 */
	void close(CloseReason reason) {
		this.closeReason.compareAndSet(null, reason);
		this.channel.close();
	}

	/**
	 * Closes the connection if the peer is unresponsive or has sent no hello message in
	 * time; otherwise sends a heartbeat if none of this side's messages is more recent
	 * than {@link Transport#HEARTBEAT_INTERVAL_MS}.
	 * @param heartbeatSupplier creates the heartbeat message
	 */
	void checkLiveness(Supplier<Message> heartbeatSupplier) {
		long now = this.transport.timers.milliTime();
		boolean processWasPaused = now - this.lastCheckMillis > 5 * Transport.LIVENESS_CHECK_INTERVAL_MS;
		this.lastCheckMillis = now;
		// If this process was itself paused, data from the peer may still be unread, so
		// the peer counts as responsive.
		if (this.receivedSinceCheck || processWasPaused || this.undeliveredBytes.get() > 0) {
			this.receivedSinceCheck = false;
			this.lastReceivedMillis = now;
		}
		if (this.peerHello == null) {
			if (!processWasPaused && now - this.openedMillis >= Transport.HANDSHAKE_TIMEOUT_MS) {
				close(CloseReason.HANDSHAKE_TIMEOUT);
			}
			return;
		}
		if (now - this.lastReceivedMillis >= Transport.HEARTBEAT_TIMEOUT_MS) {
			close(CloseReason.HEARTBEAT_TIMEOUT);
			return;
		}
		if (now - this.lastSentMillis >= Transport.HEARTBEAT_INTERVAL_MS) {
			send(heartbeatSupplier.get());
		}
	}

	private void receive(Message message, int size) {
		if (this.undeliveredBytes.addAndGet(-size) <= Transport.READ_LIMIT_BYTES / 2
				&& !this.channel.config().isAutoRead()) {
			this.channel.config().setAutoRead(true);
		}
		CloseReason reason = this.closeReason.get();
		if (this.closed || reason == CloseReason.LOCAL || (reason != null && this.peerHello == null)) {
			return;
		}
		if (this.peerHello != null) {
			this.listener.onMessage(this, message);
			return;
		}
		if (!(message instanceof Message.Hello hello)) {
			close(CloseReason.HELLO_MISSING);
			return;
		}
		if (hello.protocolVersion() != ProtocolVersion.CURRENT) {
			LOGGER.log(System.Logger.Level.WARNING,
					"Closing connection to {0} ({1}): protocol version {2}, this process requires {3}", hello.process(),
					this.channel.remoteAddress(), hello.protocolVersion(), ProtocolVersion.CURRENT);
			close(CloseReason.VERSION_MISMATCH);
			return;
		}
		this.peerHello = hello;
		this.listener.onHello(this, hello);
	}

	private void onInactive() {
		CloseReason reason = this.closeReason
			.updateAndGet((earlier) -> (earlier != null) ? earlier : CloseReason.PEER_CLOSED);
		this.transport.countClosedConnection((reason != null) ? reason : CloseReason.PEER_CLOSED);
		this.worker.schedule(() -> {
			this.closed = true;
			this.listener.onClosed(this, (reason != null) ? reason : CloseReason.PEER_CLOSED);
			this.worker.dispose();
		});
	}

	/**
	 * Receives the events of connections, on the event loop.
	 */
	interface Listener {

		/**
		 * Called once per connection, before any other message.
		 * @param source the connection
		 * @param hello the peer's hello message
		 */
		void onHello(FramedChannel source, Message.Hello hello);

		/**
		 * Called for each message after the hello message.
		 * @param source the connection
		 * @param message the message
		 */
		void onMessage(FramedChannel source, Message message);

		/**
		 * Called once per connection, as its last event.
		 * @param source the connection
		 * @param reason why the connection was closed
		 */
		void onClosed(FramedChannel source, CloseReason reason);

	}

	/** Counts received bytes and records that the peer is responsive. */
	private final class InboundActivityTracker extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			FramedChannel.this.receivedSinceCheck = true;
			FramedChannel.this.transport.bytesReceived.increment(((ByteBuf) message).readableBytes());
			context.fireChannelRead(message);
		}

	}

	/** Decodes frames and passes their messages to the event loop. */
	private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			FramedChannel framedChannel = FramedChannel.this;
			if (framedChannel.closeReason.get() != null) {
				return;
			}
			int size = frame.readableBytes() + LENGTH_PREFIX_BYTES;
			try {
				framedChannel.transport.codec.decode(ByteBufUtil.getBytes(frame)).ifPresentOrElse((message) -> {
					framedChannel.transport.messagesReceived.increment();
					if (framedChannel.undeliveredBytes.addAndGet(size) > Transport.READ_LIMIT_BYTES) {
						context.channel().config().setAutoRead(false);
					}
					framedChannel.worker.schedule(() -> framedChannel.receive(message, size));
				}, framedChannel.transport.messagesIgnored::increment);
			}
			catch (MalformedFrameException ex) {
				framedChannel.close(CloseReason.MALFORMED_FRAME);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			onInactive();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			close((cause instanceof TooLongFrameException) ? CloseReason.OVERSIZED_FRAME : CloseReason.IO_ERROR);
		}

	}

}
