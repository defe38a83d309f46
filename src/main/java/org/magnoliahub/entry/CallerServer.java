package org.magnoliahub.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.CallerLimits;
import org.magnoliahub.time.Timers;

/**
 * HTTP server for callers.
 */
final class CallerServer {

	/** Interval at which each connection checks its timeouts, in milliseconds. */
	static final long CHECK_INTERVAL_MILLIS = 500;

	private static final int BACKLOG = 1_024;

	private static final String TOO_MANY_CONNECTIONS = "too_many_connections";

	private static final int MINIMUM_READ_BYTES = 512;

	private static final int INITIAL_READ_BYTES = 2_048;

	/** Low and high water mark of the bytes buffered for a caller that reads slowly. */
	private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(32_768, 131_072);

	private final Timers timers;

	private final Supplier<CallerLimits> limits;

	private final Consumer<CallerExchange> handler;

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final CallerMemory memory;

	private final int maximumConnections;

	private final Set<CallerConnection> connections = new HashSet<>();

	private @Nullable Channel listener;

	private boolean draining;

	private boolean closingIdle;

	CallerServer(Timers timers, Supplier<CallerLimits> limits, Consumer<CallerExchange> handler, EntryLog log,
			EntryMetrics metrics, CallerMemory memory, int maximumConnections) {
		this.timers = timers;
		this.limits = limits;
		this.handler = handler;
		this.log = log;
		this.metrics = metrics;
		this.memory = memory;
		this.maximumConnections = maximumConnections;
	}

	/**
	 * Starts listening.
	 * @param group the event loop group
	 * @param address the local address
	 * @throws IOException if the address cannot be bound
	 */
	void listen(EventLoopGroup group, InetSocketAddress address) throws IOException {
		ServerBootstrap options = new ServerBootstrap().option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR, receiveBuffers());
		this.listener = Channels.listen(options, group, address, this::install);
	}

	// One read a turn, so that a connection with many bytes to decode waits for the
	// others.
	private static AdaptiveRecvByteBufAllocator receiveBuffers() {
		AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES,
				INITIAL_READ_BYTES, StrictRequestDecoder.MAXIMUM_QUEUED_BYTES);
		allocator.maxMessagesPerRead(1);
		return allocator;
	}

	private void install(SocketChannel channel) {
		boolean room = this.connections.size() < this.maximumConnections || closeUnused();
		CallerConnection connection = new CallerConnection(this, channel);
		this.connections.add(connection);
		channel.pipeline().addLast(connection.decoder(), new HttpResponseEncoder(), connection);
		if (!room) {
			connection.refuse(TOO_MANY_CONNECTIONS);
		}
	}

	// A caller that has sent nothing for longest loses least. Connections that have been
	// used may be reused by their callers for most of the idle timeout.
	private boolean closeUnused() {
		CallerConnection longest = null;
		for (CallerConnection connection : this.connections) {
			if (connection.isClosable() && (longest == null || connection.idleSince() < longest.idleSince())) {
				longest = connection;
			}
		}
		if (longest != null) {
			longest.refuse(TOO_MANY_CONNECTIONS);
		}
		return longest != null;
	}

	Timers timers() {
		return this.timers;
	}

	CallerLimits limits() {
		return this.limits.get();
	}

	CallerMemory memory() {
		return this.memory;
	}

	boolean isDraining() {
		return this.draining;
	}

	boolean isClosingIdleConnections() {
		return this.closingIdle;
	}

	int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Closes each connection after its next response.
	 */
	void drain() {
		this.draining = true;
	}

	/**
	 * Starts closing connections that have no request.
	 */
	void closeIdle() {
		this.closingIdle = true;
	}

	/**
	 * Stops accepting connections. A request that arrived while the process exits would
	 * be aborted.
	 */
	void close() {
		if (this.listener != null) {
			this.listener.close();
		}
	}

	void accept(CallerExchange exchange) {
		this.handler.accept(exchange);
	}

	void onConnectionClosed(CallerConnection connection) {
		this.connections.remove(connection);
	}

	void logFault(Throwable cause) {
		RequestFaultBarrier.report(this.log, this.metrics, "", cause);
	}

	void logRefused(String requestId, int status, String reason, long retryAfterMillis) {
		this.metrics.clientRefused(reason);
		this.log.event(EntryEvent.REQUEST_REFUSED)
			.field("id", requestId)
			.field("status", status)
			.field("reason", reason)
			.field("retry_after_ms", retryAfterMillis)
			.write();
	}

	void countClosed(String reason) {
		this.metrics.clientRefused(reason);
	}

	void logMalformedRequest(int status) {
		this.log.event(EntryEvent.REQUEST_MALFORMED).field("status", status).write();
	}

}
