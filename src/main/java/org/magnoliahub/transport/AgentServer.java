package org.magnoliahub.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.protocol.Message;

/**
 * Listens for gateways on behalf of an agent.
 */
public final class AgentServer implements FramedChannel.Listener {

	/** Default for the largest number of connections. */
	public static final int DEFAULT_MAXIMUM_CONNECTIONS = 1_024;

	private final Transport transport;

	private final Supplier<Message.Hello> greeting;

	private final Supplier<Message.LoadReport> heartbeat;

	private final Consumer<GatewaySession> onSession;

	private final Set<FramedChannel> channels = ConcurrentHashMap.newKeySet();

	private final Map<FramedChannel, GatewaySession> sessions = new HashMap<>();

	private final SerialDisposable checks = new SerialDisposable();

	private final int maximumConnections;

	private volatile boolean closed;

	private final Channel listener;

	private AgentServer(Transport transport, InetSocketAddress address, int maximumConnections,
			Supplier<Message.Hello> greeting, Supplier<Message.LoadReport> heartbeat,
			Consumer<GatewaySession> onSession) {
		this.transport = transport;
		this.greeting = greeting;
		this.heartbeat = heartbeat;
		this.onSession = onSession;
		this.maximumConnections = maximumConnections;
		this.listener = bind(address);
		this.checks.set(startChecks());
	}

	/**
	 * Starts to listen.
	 * @param transport the shared part of all connections
	 * @param address local address, port 0 for any free port
	 * @param maximumConnections largest number of connections, at least 1
	 * @param greeting creates the agent's greeting at each connection, on the event loop
	 * @param heartbeat creates the load report for idle connections, on the event loop
	 * @param onSession receives each gateway that sent a valid greeting, on the event
	 * loop
	 * @return the server
	 * @throws IOException if the address cannot be bound
	 */
	public static AgentServer start(Transport transport, InetSocketAddress address, int maximumConnections,
			Supplier<Message.Hello> greeting, Supplier<Message.LoadReport> heartbeat,
			Consumer<GatewaySession> onSession) throws IOException {
		Arguments.requireRange(maximumConnections, 1, Integer.MAX_VALUE, "largest number of connections");
		try {
			return new AgentServer(transport, address, maximumConnections, greeting, heartbeat, onSession);
		}
		catch (BindFailure ex) {
			throw new IOException("cannot listen on " + address + ": " + ex.getMessage(), ex);
		}
	}

	private Channel bind(InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(this.transport.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}
			})
			.bind(address)
			.awaitUninterruptibly();
		Throwable cause = bound.cause();
		if (cause != null) {
			throw new BindFailure(cause);
		}
		return bound.channel();
	}

	private void accept(SocketChannel channel) {
		if (this.closed || this.channels.size() >= this.maximumConnections) {
			this.transport.countClosed(this.closed ? CloseReason.LOCAL : CloseReason.CONNECTION_LIMIT);
			channel.close();
			return;
		}
		this.channels.add(FramedChannel.install(this.transport, channel, this));
	}

	private Disposable startChecks() {
		return this.transport.timers.every(Duration.ofMillis(Transport.CHECK_INTERVAL_MS))
			.subscribe((tick) -> this.channels.forEach((channel) -> channel.check(this.heartbeat::get)));
	}

	/**
	 * Returns the local port.
	 * @return the port it listens on
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Stops listening and closes all connections. Returns without waiting.
	 */
	public void close() {
		this.closed = true;
		this.checks.dispose();
		this.listener.close();
		this.channels.forEach((channel) -> channel.close(CloseReason.LOCAL));
	}

	@Override
	public void onHello(FramedChannel source, Message.Hello hello) {
		GatewaySession session = new GatewaySession(source, hello);
		this.sessions.put(source, session);
		source.send(this.greeting.get());
		this.onSession.accept(session);
	}

	@Override
	public void onMessage(FramedChannel source, Message message) {
		GatewaySession session = this.sessions.get(source);
		if (session != null) {
			session.onMessage(message);
		}
	}

	@Override
	public void onClosed(FramedChannel source, CloseReason reason) {
		this.channels.remove(source);
		GatewaySession session = this.sessions.remove(source);
		if (session != null) {
			session.onClosed();
		}
	}

	private static final class BindFailure extends RuntimeException {

		private static final long serialVersionUID = 1L;

		BindFailure(Throwable cause) {
			super(cause.getMessage(), cause);
		}

	}

}
