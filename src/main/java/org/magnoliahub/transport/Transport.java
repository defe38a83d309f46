package org.magnoliahub.transport;

import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.reactivex.rxjava3.core.Scheduler;
import org.magnoliahub.time.TimerService;

/**
 * What all connections of a process share: one network thread, the event loop to which
 * events are handed over, timers, the codec and counters.
 */
public final class Transport {

	/** An idle connection sends a heartbeat after this time, in milliseconds. */
	public static final long HEARTBEAT_INTERVAL_MS = 10_000;

	/**
	 * A connection on which nothing was heard for this time is closed, in milliseconds.
	 */
	public static final long SILENCE_LIMIT_MS = 30_000;

	/** A connection without a greeting is closed after this time, in milliseconds. */
	public static final long HANDSHAKE_LIMIT_MS = 10_000;

	/** Chunks are refused while this much waits to be written, in bytes. */
	public static final int CHUNK_WRITE_LIMIT_BYTES = 256 * 1024;

	/** A connection with more than this waiting to be written is closed, in bytes. */
	public static final int WRITE_LIMIT_BYTES = 4 * 1024 * 1024;

	/**
	 * Reading pauses while received messages of this size wait for the event loop, in
	 * bytes.
	 */
	static final int READ_LIMIT_BYTES = 2 * MessageCodec.MAXIMUM_FRAME_BYTES;

	/** Longest time to establish a connection, in milliseconds. */
	static final int CONNECT_TIMEOUT_MS = 2_000;

	/** Period of checks for heartbeats and timeouts, in milliseconds. */
	static final long CHECK_INTERVAL_MS = 1_000;

	private static final String PREFIX = "magnoliahub.transport.";

	final EventLoopGroup group;

	final Scheduler eventLoop;

	final TimerService timers;

	final MeterRegistry meters;

	final MessageCodec codec = MessageCodec.create();

	final Counter messagesReceived;

	final Counter messagesSent;

	final Counter bytesReceived;

	final Counter bytesSent;

	final Counter messagesIgnored;

	private Transport(EventLoopGroup group, Scheduler eventLoop, TimerService timers, MeterRegistry meters) {
		this.group = group;
		this.eventLoop = eventLoop;
		this.timers = timers;
		this.meters = meters;
		this.messagesReceived = meters.counter(PREFIX + "messages.received");
		this.messagesSent = meters.counter(PREFIX + "messages.sent");
		this.bytesReceived = meters.counter(PREFIX + "bytes.received");
		this.bytesSent = meters.counter(PREFIX + "bytes.sent");
		this.messagesIgnored = meters.counter(PREFIX + "messages.ignored");
	}

	/**
	 * Starts the network thread.
	 * @param eventLoop the scheduler of the event loop, which runs one task at a time
	 * @param timers timers on the same event loop
	 * @param meters where counters are registered
	 * @return the shared part of all connections
	 */
	public static Transport create(Scheduler eventLoop, TimerService timers, MeterRegistry meters) {
		EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("transport", true));
		return new Transport(group, eventLoop, timers, meters);
	}

	/**
	 * Stops the network thread and closes all connections that are still open. Returns
	 * without waiting.
	 */
	public void close() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	void countClosed(CloseReason reason) {
		this.meters.counter(PREFIX + "connections.closed", "reason", reason.tag()).increment();
	}

	void countConnectFailure() {
		this.meters.counter(PREFIX + "connects.failed").increment();
	}

	void countRefused(String reason) {
		this.meters.counter(PREFIX + "messages.refused", "reason", reason).increment();
	}

}
