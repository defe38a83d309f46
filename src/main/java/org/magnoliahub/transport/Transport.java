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
 * Network resources that all connections of a process share: the network thread, the
 * event loop that processes the events of connections, timers, the codec and counters.
 */
public final class Transport {

	/**
	 * Time without a sent message after which a heartbeat is sent, in milliseconds.
	 */
	public static final long HEARTBEAT_INTERVAL_MS = 10_000;

	/**
	 * Time without received bytes after which a connection is closed, in milliseconds.
	 */
	public static final long HEARTBEAT_TIMEOUT_MS = 30_000;

	/**
	 * Time without a hello message after which a new connection is closed, in
	 * milliseconds.
	 */
	public static final long HANDSHAKE_TIMEOUT_MS = 10_000;

	/**
	 * Amount of unsent output of a connection above which chunks are refused, in bytes.
	 */
	public static final int CHUNK_WRITE_LIMIT_BYTES = 256 * 1024;

	/**
	 * Maximum amount of unsent output of a connection, in bytes; a message that would
	 * exceed it closes the connection.
	 */
	public static final int WRITE_LIMIT_BYTES = 4 * 1024 * 1024;

	/**
	 * Maximum size of received messages that wait for the event loop, in bytes. Beyond
	 * it, reading from the connection stops until at most half of it is left.
	 */
	static final int READ_LIMIT_BYTES = 2 * MessageCodec.MAXIMUM_FRAME_BYTES;

	/** Timeout for establishing a connection, in milliseconds. */
	static final int CONNECT_TIMEOUT_MS = 2_000;

	/** Interval between checks for due heartbeats and timeouts, in milliseconds. */
	static final long LIVENESS_CHECK_INTERVAL_MS = 1_000;

	private static final String PREFIX = "magnoliahub.transport.";

	final EventLoopGroup nettyGroup;

	final Scheduler eventLoop;

	final TimerService timers;

	final MeterRegistry meters;

	final MessageCodec codec = MessageCodec.create();

	final Counter messagesReceived;

	final Counter messagesSent;

	final Counter bytesReceived;

	final Counter bytesSent;

	final Counter messagesIgnored;

	private Transport(EventLoopGroup nettyGroup, Scheduler eventLoop, TimerService timers, MeterRegistry meters) {
		this.nettyGroup = nettyGroup;
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
	 * Creates the shared resources, with a network thread that starts on first use.
	 * @param eventLoop the scheduler of the event loop, which must run one task at a time
	 * @param timers timers on the same event loop
	 * @param meters the registry for the counters
	 * @return the shared resources
	 */
	public static Transport create(Scheduler eventLoop, TimerService timers, MeterRegistry meters) {
		EventLoopGroup nettyGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("transport", true));
		return new Transport(nettyGroup, eventLoop, timers, meters);
	}

	/**
	 * Stops the network thread and closes the remaining connections, without waiting
	 * until they are closed.
	 */
	public void close() {
		this.nettyGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	void countClosedConnection(CloseReason reason) {
		this.meters.counter(PREFIX + "connections.closed", "reason", reason.metricTag()).increment();
	}

	void countConnectFailure() {
		this.meters.counter(PREFIX + "connects.failed").increment();
	}

	void countRefusedMessage(String reason) {
		this.meters.counter(PREFIX + "messages.refused", "reason", reason).increment();
	}

}
