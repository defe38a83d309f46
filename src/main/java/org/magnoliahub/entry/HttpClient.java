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
 * Sends requests over kept connections, one request at a time on each.
 */
final class HttpClient {

	private static final int MAXIMUM_IDLE_PER_PEER = 24;

	private final EventLoopGroup group;

	private final Timers timers;

	private final Map<String, Deque<HttpConnection>> idle = new HashMap<>();

	HttpClient(EventLoopGroup group, Timers timers) {
		this.group = group;
		this.timers = timers;
	}

	/**
	 * Sends a request.
	 * @param call the request
	 * @param listener receives the answer
	 * @return the exchange, to cancel it or to pause reading
	 */
	HttpExchange send(HttpCall call, ResponseListener listener) {
		HttpExchange exchange = new HttpExchange(call, listener);
		HttpConnection kept = (call.maximumIdleMillis() > 0) ? takeIdle(call) : null;
		if (kept != null) {
			kept.start(exchange);
			return exchange;
		}
		connect(call, exchange);
		return exchange;
	}

	private @Nullable HttpConnection takeIdle(HttpCall call) {
		Deque<HttpConnection> connections = this.idle.get(call.address());
		if (connections == null) {
			return null;
		}
		long now = this.timers.milliTime();
		while (!connections.isEmpty()) {
			HttpConnection connection = connections.pollLast();
			if (connection.isUsable(now, call.maximumIdleMillis())) {
				return connection;
			}
			if (connection.isKept(now)) {
				connections.addLast(connection);
				return null;
			}
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
		HttpConnection connection = new HttpConnection(this, call.address(), this.timers);
		ChannelFuture opening = Channels.connect(this.group, address, call.connectTimeoutMillis(), connection::install);
		opening.addListener((result) -> {
			if (!result.isSuccess()) {
				exchange.fail(false, "connect failed: " + result.cause().getMessage());
				return;
			}
			if (exchange.isOver()) {
				connection.close();
				return;
			}
			// The endpoint may have asked for a pause while the connection opened.
			String refusal = call.interceptor().refusalReason();
			if (refusal != null) {
				connection.close();
				exchange.fail(false, refusal);
				return;
			}
			connection.start(exchange);
		});
		exchange.connecting(opening.channel());
	}

	void release(String address, HttpConnection connection) {
		Deque<HttpConnection> connections = this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>());
		if (connections.size() >= MAXIMUM_IDLE_PER_PEER) {
			connections.pollFirst().close();
		}
		connections.addLast(connection);
	}

	void forget(String address, HttpConnection connection) {
		Deque<HttpConnection> connections = this.idle.get(address);
		if (connections != null) {
			connections.remove(connection);
		}
	}

	/**
	 * Closes the idle connections to a peer that takes no more requests.
	 * @param address host and port of the peer
	 */
	void closeIdle(String address) {
		Deque<HttpConnection> connections = this.idle.remove(address);
		if (connections != null) {
			connections.forEach(HttpConnection::close);
		}
	}

	/**
	 * Closes connections that have been idle for longer than they may be used. Endpoints
	 * bound the connections of all gateways together, so none is kept in vain.
	 */
	void closeIdle() {
		long now = this.timers.milliTime();
		Iterator<Deque<HttpConnection>> pools = this.idle.values().iterator();
		while (pools.hasNext()) {
			Deque<HttpConnection> connections = pools.next();
			while (!connections.isEmpty() && !connections.peekFirst().isKept(now)) {
				connections.pollFirst().close();
			}
			if (connections.isEmpty()) {
				pools.remove();
			}
		}
	}

}
