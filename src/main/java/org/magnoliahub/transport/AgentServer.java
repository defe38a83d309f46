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
 * TCP server of an agent: accepts connections from gateways and creates a
 * {@link GatewaySession} for each gateway that sends a valid hello message.
 */
public final class AgentServer implements FramedChannel.Listener {

	/** Default maximum number of connections. */
	public static final int DEFAULT_MAXIMUM_CONNECTIONS = 1_024;

	private final Transport transport;

	private final Supplier<Message.Hello> helloSupplier;

	private final Supplier<Message.LoadReport> heartbeatSupplier;

	private final Consumer<GatewaySession> sessionHandler;

	private final Set<FramedChannel> channels = ConcurrentHashMap.newKeySet();

	private final Map<FramedChannel, GatewaySession> sessions = new HashMap<>();

	private final SerialDisposable livenessChecks = new SerialDisposable();

	private final int maximumConnections;

	private volatile boolean closed;

	private final Channel serverChannel;

	private AgentServer(Transport transport, InetSocketAddress address, int maximumConnections,
			Supplier<Message.Hello> helloSupplier, Supplier<Message.LoadReport> heartbeatSupplier,
			Consumer<GatewaySession> sessionHandler) {
		this.transport = transport;
		this.helloSupplier = helloSupplier;
		this.heartbeatSupplier = heartbeatSupplier;
		this.sessionHandler = sessionHandler;
		this.maximumConnections = maximumConnections;
		this.serverChannel = bind(address);
		this.livenessChecks.set(startLivenessChecks());
	}

	/**
	 * Starts a server.
	 * @param transport the network resources that all connections share
	 * @param address local address, port 0 for any free port
	 * @param maximumConnections maximum number of connections, at least 1; further ones
	 * are closed at once
	 * @param helloSupplier creates the agent's hello message for each connection, on the
	 * event loop
	 * @param heartbeatSupplier creates the load report that is sent on idle connections,
	 * on the event loop
	 * @param sessionHandler receives the session of each gateway that sent a valid hello
	 * message, on the event loop
	 * @return the server
	 * @throws IOException if the address cannot be bound
	 */
	public static AgentServer start(Transport transport, InetSocketAddress address, int maximumConnections,
			Supplier<Message.Hello> helloSupplier, Supplier<Message.LoadReport> heartbeatSupplier,
			Consumer<GatewaySession> sessionHandler) throws IOException {
		Arguments.requireRange(maximumConnections, 1, Integer.MAX_VALUE, "maximum number of connections");
		try {
			return new AgentServer(transport, address, maximumConnections, helloSupplier, heartbeatSupplier,
					sessionHandler);
		}
		catch (UncheckedBindException ex) {
			throw new IOException("cannot listen on " + address + ": " + ex.getMessage(), ex);
		}
	}

	private Channel bind(InetSocketAddress address) {
		ChannelFuture bindFuture = new ServerBootstrap().group(this.transport.nettyGroup)
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
		Throwable cause = bindFuture.cause();
		if (cause != null) {
			throw new UncheckedBindException(cause);
		}
		return bindFuture.channel();
	}

	private void accept(SocketChannel channel) {
		if (this.closed || this.channels.size() >= this.maximumConnections) {
			this.transport.countClosedConnection(this.closed ? CloseReason.LOCAL : CloseReason.CONNECTION_LIMIT);
			channel.close();
			return;
		}
		this.channels.add(FramedChannel.install(this.transport, channel, this));
	}

	private Disposable startLivenessChecks() {
		return this.transport.timers.every(Duration.ofMillis(Transport.LIVENESS_CHECK_INTERVAL_MS))
			.subscribe(
					(tick) -> this.channels.forEach((channel) -> channel.checkLiveness(this.heartbeatSupplier::get)));
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the local port, also if the address named port 0
	 */
	public int port() {
		return ((InetSocketAddress) this.serverChannel.localAddress()).getPort();
	}

	/**
	 * Stops listening and closes all connections, without waiting until they are closed.
	 */
	public void close() {
		this.closed = true;
		this.livenessChecks.dispose();
		this.serverChannel.close();
		this.channels.forEach((channel) -> channel.close(CloseReason.LOCAL));
	}

	@Override
	public void onHello(FramedChannel source, Message.Hello hello) {
		GatewaySession session = new GatewaySession(source, hello);
		this.sessions.put(source, session);
		source.send(this.helloSupplier.get());
		this.sessionHandler.accept(session);
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

	/** Carries a bind failure out of the constructor as an unchecked exception. */
	private static final class UncheckedBindException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		UncheckedBindException(Throwable cause) {
			super(cause.getMessage(), cause);
		}

	}

}
