package org.magnoliahub.entry;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.HostPort;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.time.Timers;

/**
 * HTTP client with a connection pool. Each connection carries one request at a time.
 */
final class HttpClient {

	private static final int MAXIMUM_IDLE_PER_PEER = 24;

	private final EventLoopGroup group;

	private final Timers timers;

	private final Map<HttpCall.ConnectionKey, Deque<HttpConnection>> idleConnections = new HashMap<>();

	HttpClient(EventLoopGroup group, Timers timers) {
		this.group = group;
		this.timers = timers;
	}

	/**
	 * Sends a request.
	 * @param call the request
	 * @param listener receives the response
	 * @return the exchange, which can be cancelled and whose reading can be suspended
	 */
	HttpExchange send(HttpCall call, ResponseListener listener) {
		HttpExchange exchange = new HttpExchange(call, listener);
		HttpConnection connection = (call.maximumIdleMillis() > 0) ? takeIdle(call) : null;
		if (connection != null) {
			startUnlessRefused(connection, exchange);
			return exchange;
		}
		connect(call, exchange);
		return exchange;
	}

	private @Nullable HttpConnection takeIdle(HttpCall call) {
		Deque<HttpConnection> connections = this.idleConnections.get(call.connectionKey());
		if (connections == null) {
			return null;
		}
		long now = this.timers.milliTime();
		Iterator<HttpConnection> newestFirst = connections.descendingIterator();
		while (newestFirst.hasNext()) {
			HttpConnection connection = newestFirst.next();
			boolean usable = connection.isUsable(now, call.maximumIdleMillis());
			if (usable && connection.canCarry(call)) {
				newestFirst.remove();
				return connection;
			}
			if (usable) {
				continue;
			}
			// Too idle for this request, as are the older ones, but not for others.
			if (connection.isReusable(now)) {
				return null;
			}
			newestFirst.remove();
			connection.close();
		}
		return null;
	}

	private void connect(HttpCall call, HttpExchange exchange) {
		InetSocketAddress address;
		try {
			address = HostPort.parse(call.address());
		}
		catch (PlatformFormatException ex) {
			this.group.execute(() -> exchange.fail(false, "bad address " + call.address()));
			return;
		}
		HttpConnection connection = new HttpConnection(this, call.connectionKey(), this.timers);
		ChannelFuture connectFuture = Channels.connect(this.group, address, call.connectTimeoutMillis(),
				connection::install);
		connectFuture.addListener((result) -> {
			if (!result.isSuccess()) {
				exchange.fail(false, "connect failed: " + result.cause().getMessage());
				return;
			}
			if (exchange.isEnded()) {
				connection.close();
				return;
			}
			startUnlessRefused(connection, exchange);
		});
		exchange.setConnectingChannel(connectFuture.channel());
	}

	// The endpoint may have requested a pause, or its zone may have been evacuated, while
	// the connection was opening.
	private void startUnlessRefused(HttpConnection connection, HttpExchange exchange) {
		String refusalReason = exchange.call().interceptor().refusalReason();
		if (refusalReason == null) {
			connection.start(exchange);
			return;
		}
		connection.close();
		exchange.fail(false, refusalReason);
	}

	void returnToPool(HttpCall.ConnectionKey key, HttpConnection connection) {
		Deque<HttpConnection> connections = this.idleConnections.computeIfAbsent(key, (absent) -> new ArrayDeque<>());
		if (connections.size() >= MAXIMUM_IDLE_PER_PEER) {
			connections.pollFirst().close();
		}
		connections.addLast(connection);
	}

	void removeFromPool(HttpCall.ConnectionKey key, HttpConnection connection) {
		Deque<HttpConnection> connections = this.idleConnections.get(key);
		if (connections != null) {
			connections.remove(connection);
		}
	}

	/**
	 * Closes the idle connections to a peer that accepts no more requests.
	 * @param address host and port of the peer
	 */
	void closeIdle(String address) {
		this.idleConnections.forEach((key, connections) -> {
			if (key.address().equals(address)) {
				connections.forEach(HttpConnection::close);
				connections.clear();
			}
		});
	}

	/**
	 * Closes idle connections that can no longer be reused. Endpoints limit the total
	 * number of connections from all gateways, so unusable ones are not kept.
	 */
	void closeIdle() {
		long now = this.timers.milliTime();
		Iterator<Deque<HttpConnection>> pools = this.idleConnections.values().iterator();
		while (pools.hasNext()) {
			Deque<HttpConnection> connections = pools.next();
			while (!connections.isEmpty() && !connections.peekFirst().isReusable(now)) {
				connections.pollFirst().close();
			}
			if (connections.isEmpty()) {
				pools.remove();
			}
		}
	}

}
