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
 * One TCP connection with frames of messages in both directions. Frames are decoded on
 * the network thread; the listener is called on the event loop. All methods are called on
 * the event loop unless stated otherwise.
 */
final class FramedChannel {

	private static final System.Logger LOGGER = System.getLogger(FramedChannel.class.getName());

	private static final int LENGTH_BYTES = Integer.BYTES;

	private final Transport transport;

	private final Channel channel;

	private final Listener listener;

	private final Scheduler.Worker worker;

	private final AtomicInteger unreadBytes = new AtomicInteger();

	private final AtomicInteger unwrittenBytes = new AtomicInteger();

	private final AtomicReference<@Nullable CloseReason> closeReason = new AtomicReference<>();

	private volatile boolean heard;

	private Message.@Nullable Hello peer;

	private boolean closed;

	private final long openedMillis;

	private long lastSentMillis;

	private long lastHeardMillis;

	private long lastCheckMillis;

	private FramedChannel(Transport transport, Channel channel, Listener listener) {
		this.transport = transport;
		this.channel = channel;
		this.listener = listener;
		this.worker = transport.eventLoop.createWorker();
		long now = transport.timers.milliTime();
		this.openedMillis = now;
		this.lastSentMillis = now;
		this.lastHeardMillis = now;
		this.lastCheckMillis = now;
	}

	/**
	 * Adds the handlers to a new channel; called on the network thread.
	 * @param transport the shared part
	 * @param channel the new channel
	 * @param listener receives events on the event loop
	 * @return the connection
	 */
	static FramedChannel install(Transport transport, Channel channel, Listener listener) {
		FramedChannel framed = new FramedChannel(transport, channel, listener);
		channel.pipeline()
			.addLast(framed.new ByteCounter())
			.addLast(new LengthFieldBasedFrameDecoder(MessageCodec.MAXIMUM_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES,
					0, LENGTH_BYTES))
			.addLast(framed.new FrameHandler());
		return framed;
	}

	Message.@Nullable Hello peer() {
		return this.peer;
	}

	boolean isClosed() {
		return this.closed;
	}

	/**
	 * Sends a message.
	 * @param message the message
	 * @return whether it was handed to the channel
	 */
	boolean send(Message message) {
		if (this.closed || !this.channel.isActive()) {
			return false;
		}
		if (message instanceof Message.Chunk && this.unwrittenBytes.get() > Transport.CHUNK_WRITE_LIMIT_BYTES) {
			this.transport.countRefused("write_buffer");
			return false;
		}
		byte[] frame = this.transport.codec.encode(message);
		if (frame.length > MessageCodec.MAXIMUM_FRAME_BYTES) {
			this.transport.countRefused("oversized");
			return false;
		}
		int size = frame.length + LENGTH_BYTES;
		if (this.unwrittenBytes.get() + size > Transport.WRITE_LIMIT_BYTES) {
			// Dropping a single message would leave the peer waiting for it; closing
			// tells the peer that messages are missing.
			close(CloseReason.WRITE_LIMIT);
			return false;
		}
		write(frame, size);
		return true;
	}

	private void write(byte[] frame, int size) {
		this.unwrittenBytes.addAndGet(size);
		ByteBuf prefix = Unpooled.buffer(LENGTH_BYTES, LENGTH_BYTES).writeInt(frame.length);
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(prefix, Unpooled.wrappedBuffer(frame)))
			.addListener((result) -> this.unwrittenBytes.addAndGet(-size));
		this.transport.messagesSent.increment();
		this.transport.bytesSent.increment(size);
		this.lastSentMillis = this.transport.timers.milliTime();
	}

	/**
	 * Closes the connection; safe on any thread.
	 * @param reason why, counted if it is the first reason given
	 */
	void close(CloseReason reason) {
		this.closeReason.compareAndSet(null, reason);
		this.channel.close();
	}

	/**
	 * Sends a heartbeat if the connection is idle, and closes it if the peer is silent.
	 * @param heartbeat creates the heartbeat
	 */
	void check(Supplier<Message> heartbeat) {
		long now = this.transport.timers.milliTime();
		boolean paused = now - this.lastCheckMillis > 5 * Transport.CHECK_INTERVAL_MS;
		this.lastCheckMillis = now;
		// After a pause of this process, messages of the peer may still be unread.
		if (this.heard || paused || this.unreadBytes.get() > 0) {
			this.heard = false;
			this.lastHeardMillis = now;
		}
		if (this.peer == null) {
			if (!paused && now - this.openedMillis >= Transport.HANDSHAKE_LIMIT_MS) {
				close(CloseReason.HANDSHAKE_TIMEOUT);
			}
			return;
		}
		if (now - this.lastHeardMillis >= Transport.SILENCE_LIMIT_MS) {
			close(CloseReason.HEARTBEAT_TIMEOUT);
			return;
		}
		if (now - this.lastSentMillis >= Transport.HEARTBEAT_INTERVAL_MS) {
			send(heartbeat.get());
		}
	}

	private void receive(Message message, int size) {
		if (this.unreadBytes.addAndGet(-size) <= Transport.READ_LIMIT_BYTES / 2
				&& !this.channel.config().isAutoRead()) {
			this.channel.config().setAutoRead(true);
		}
		CloseReason reason = this.closeReason.get();
		if (this.closed || reason == CloseReason.LOCAL || (reason != null && this.peer == null)) {
			return;
		}
		if (this.peer != null) {
			this.listener.onMessage(this, message);
			return;
		}
		if (!(message instanceof Message.Hello hello)) {
			close(CloseReason.HELLO_MISSING);
			return;
		}
		if (hello.protocolVersion() != ProtocolVersion.CURRENT) {
			LOGGER.log(System.Logger.Level.WARNING,
					"Closing connection to {0} ({1}): protocol version {2}, this process speaks {3}", hello.process(),
					this.channel.remoteAddress(), hello.protocolVersion(), ProtocolVersion.CURRENT);
			close(CloseReason.VERSION_MISMATCH);
			return;
		}
		this.peer = hello;
		this.listener.onHello(this, hello);
	}

	private void onInactive() {
		CloseReason reason = this.closeReason.updateAndGet((old) -> (old != null) ? old : CloseReason.PEER_CLOSED);
		this.transport.countClosed((reason != null) ? reason : CloseReason.PEER_CLOSED);
		this.worker.schedule(() -> {
			this.closed = true;
			this.listener.onClosed(this, (reason != null) ? reason : CloseReason.PEER_CLOSED);
			this.worker.dispose();
		});
	}

	/**
	 * Receives the events of a connection on the event loop.
	 */
	interface Listener {

		/**
		 * Called once, before any other message.
		 * @param source the connection
		 * @param hello the peer's greeting
		 */
		void onHello(FramedChannel source, Message.Hello hello);

		/**
		 * Called for each message after the greeting.
		 * @param source the connection
		 * @param message the message
		 */
		void onMessage(FramedChannel source, Message message);

		/**
		 * Called once, last.
		 * @param source the connection
		 * @param reason why it was closed
		 */
		void onClosed(FramedChannel source, CloseReason reason);

	}

	private final class ByteCounter extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			FramedChannel.this.heard = true;
			FramedChannel.this.transport.bytesReceived.increment(((ByteBuf) message).readableBytes());
			context.fireChannelRead(message);
		}

	}

	private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			FramedChannel self = FramedChannel.this;
			if (self.closeReason.get() != null) {
				return;
			}
			int size = frame.readableBytes() + LENGTH_BYTES;
			try {
				self.transport.codec.decode(ByteBufUtil.getBytes(frame)).ifPresentOrElse((message) -> {
					self.transport.messagesReceived.increment();
					if (self.unreadBytes.addAndGet(size) > Transport.READ_LIMIT_BYTES) {
						context.channel().config().setAutoRead(false);
					}
					self.worker.schedule(() -> self.receive(message, size));
				}, self.transport.messagesIgnored::increment);
			}
			catch (MalformedFrameException ex) {
				self.close(CloseReason.MALFORMED_FRAME);
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
