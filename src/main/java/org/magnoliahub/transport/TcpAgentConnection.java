package org.magnoliahub.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.gateway.AgentConnection;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;

/**
 * A TCP connection to an agent that reconnects with jittered exponential backoff. All
 * methods must be called on the event loop. Messages and connection changes are hot
 * streams: a subscriber that requests too few items gets a
 * {@code MissingBackpressureException}.
 */
public final class TcpAgentConnection implements AgentConnection, FramedChannel.Listener {

	/**
	 * Upper bound of the delay before the first reconnection attempt, in milliseconds; it
	 * doubles with each further failure.
	 */
	static final long INITIAL_RECONNECT_DELAY_MS = 100;

	/** Upper bound of the delay before any reconnection attempt, in milliseconds. */
	static final long MAXIMUM_RECONNECT_DELAY_MS = 5_000;

	private final Transport transport;

	private final Endpoint endpoint;

	private final InetSocketAddress address;

	private final Supplier<Message.Hello> helloSupplier;

	private final RandomGenerator random;

	private final PublishProcessor<Message> messages = PublishProcessor.create();

	private final PublishProcessor<Boolean> connectionChanges = PublishProcessor.create();

	private final SerialDisposable reconnectTimer = new SerialDisposable();

	private @Nullable FramedChannel channel;

	private int consecutiveFailures;

	/** Latest monotonic time received from the agent, 0 while disconnected. */
	private long agentMillisSeen;

	private boolean closed;

	private TcpAgentConnection(Transport transport, Endpoint endpoint, InetSocketAddress address,
			Supplier<Message.Hello> helloSupplier, RandomGenerator random) {
		this.transport = transport;
		this.endpoint = endpoint;
		this.address = address;
		this.helloSupplier = helloSupplier;
		this.random = random;
	}

	static TcpAgentConnection open(Transport transport, Endpoint endpoint, Supplier<Message.Hello> helloSupplier,
			RandomGenerator random) {
		TcpAgentConnection connection = new TcpAgentConnection(transport, endpoint,
				parseAddress(endpoint.agentAddress()), helloSupplier, random);
		connection.connect();
		return connection;
	}

	private static InetSocketAddress parseAddress(String address) {
		int colon = address.lastIndexOf(':');
		try {
			return InetSocketAddress.createUnresolved(address.substring(0, Math.max(0, colon)),
					Integer.parseInt(address.substring(colon + 1)));
		}
		catch (IllegalArgumentException ex) {
			throw new IllegalArgumentException("agent address must have the form host:port, but was " + address, ex);
		}
	}

	private void connect() {
		ChannelReference channelReference = new ChannelReference();
		ChannelFuture connectFuture = new Bootstrap().group(this.transport.nettyGroup)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Transport.CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel socket) {
					channelReference.channel = FramedChannel.install(TcpAgentConnection.this.transport, socket,
							TcpAgentConnection.this);
				}
			})
			.connect(this.address);
		connectFuture.addListener((result) -> this.transport.eventLoop
			.scheduleDirect(() -> onConnected(result.isSuccess() ? channelReference.channel : null)));
	}

	private void onConnected(@Nullable FramedChannel established) {
		if (established == null || established.isClosed()) {
			this.transport.countConnectFailure();
			scheduleReconnect();
			return;
		}
		if (this.closed) {
			established.close(CloseReason.LOCAL);
			return;
		}
		this.channel = established;
		established.send(this.helloSupplier.get());
	}

	private void scheduleReconnect() {
		if (this.closed) {
			return;
		}
		// The limit of the shift prevents an overflow.
		long delayBound = Math.min(MAXIMUM_RECONNECT_DELAY_MS,
				INITIAL_RECONNECT_DELAY_MS << Math.min(this.consecutiveFailures, 16));
		this.consecutiveFailures++;
		// Full jitter keeps the gateways of a restarted agent from reconnecting all at
		// once.
		Duration delay = Duration.ofMillis(1 + this.random.nextLong(delayBound));
		this.reconnectTimer.set(this.transport.timers.after(delay).subscribe(this::connect));
	}

	@Override
	public Endpoint endpoint() {
		return this.endpoint;
	}

	@Override
	public Optional<Message.Hello> agentHello() {
		return Optional.ofNullable((this.channel != null) ? this.channel.peerHello() : null);
	}

	@Override
	public long agentMillisSeen() {
		return this.agentMillisSeen;
	}

	@Override
	public boolean send(Message message) {
		return this.channel != null && this.channel.peerHello() != null && this.channel.send(message);
	}

	@Override
	public Flowable<Message> messages() {
		return this.messages;
	}

	@Override
	public Flowable<Boolean> connectionChanges() {
		return this.connectionChanges;
	}

	void checkLiveness(Supplier<Message.ConfigurationChanges> heartbeatSupplier) {
		if (this.channel != null) {
			this.channel.checkLiveness(heartbeatSupplier::get);
		}
	}

	void close() {
		this.closed = true;
		this.reconnectTimer.dispose();
		FramedChannel current = this.channel;
		if (current != null) {
			current.close(CloseReason.LOCAL);
			clearChannel(current);
		}
		this.messages.onComplete();
		this.connectionChanges.onComplete();
	}

	private void clearChannel(FramedChannel source) {
		this.channel = null;
		this.agentMillisSeen = 0;
		if (source.peerHello() != null) {
			this.connectionChanges.onNext(false);
		}
	}

	@Override
	public void onHello(FramedChannel source, Message.Hello hello) {
		if (source != this.channel) {
			return;
		}
		this.consecutiveFailures = 0;
		this.agentMillisSeen = hello.processMillis();
		this.connectionChanges.onNext(true);
	}

	@Override
	public void onMessage(FramedChannel source, Message message) {
		if (source != this.channel) {
			return;
		}
		if (message instanceof Message.LoadReport load) {
			updateAgentTime(load);
		}
		else if (message instanceof Message.Completed completed) {
			updateAgentTime(completed.load());
		}
		else if (message instanceof Message.Failed failed) {
			updateAgentTime(failed.load());
		}
		this.messages.onNext(message);
	}

	private void updateAgentTime(Message.LoadReport load) {
		this.agentMillisSeen = Math.max(this.agentMillisSeen, load.agentMillis());
	}

	@Override
	public void onClosed(FramedChannel source, CloseReason reason) {
		if (source != this.channel) {
			return;
		}
		clearChannel(source);
		scheduleReconnect();
	}

	/** Passes the channel from the network thread to the event loop. */
	private static final class ChannelReference {

		private volatile @Nullable FramedChannel channel;

	}

}
