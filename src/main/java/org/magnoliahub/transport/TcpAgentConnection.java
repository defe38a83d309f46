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
 * methods are called on the event loop. Messages and state changes are hot streams: a
 * subscriber that requests too few gets a {@code MissingBackpressureException}.
 */
public final class TcpAgentConnection implements AgentConnection, FramedChannel.Listener {

	/** Upper bound of the first delay before a reconnection, in milliseconds. */
	static final long FIRST_DELAY_MS = 100;

	/** Upper bound of later delays, in milliseconds. */
	static final long MAXIMUM_DELAY_MS = 5_000;

	private final Transport transport;

	private final Endpoint endpoint;

	private final InetSocketAddress address;

	private final Supplier<Message.Hello> greeting;

	private final RandomGenerator random;

	private final PublishProcessor<Message> messages = PublishProcessor.create();

	private final PublishProcessor<Boolean> connected = PublishProcessor.create();

	private final SerialDisposable reconnection = new SerialDisposable();

	private @Nullable FramedChannel channel;

	private int failures;

	private long agentMillisSeen;

	private boolean closed;

	private TcpAgentConnection(Transport transport, Endpoint endpoint, InetSocketAddress address,
			Supplier<Message.Hello> greeting, RandomGenerator random) {
		this.transport = transport;
		this.endpoint = endpoint;
		this.address = address;
		this.greeting = greeting;
		this.random = random;
	}

	static TcpAgentConnection open(Transport transport, Endpoint endpoint, Supplier<Message.Hello> greeting,
			RandomGenerator random) {
		TcpAgentConnection connection = new TcpAgentConnection(transport, endpoint, parse(endpoint.agentAddress()),
				greeting, random);
		connection.connect();
		return connection;
	}

	private static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		try {
			return InetSocketAddress.createUnresolved(address.substring(0, Math.max(0, colon)),
					Integer.parseInt(address.substring(colon + 1)));
		}
		catch (IllegalArgumentException ex) {
			throw new IllegalArgumentException("agent address must be host:port, but was " + address, ex);
		}
	}

	private void connect() {
		Holder holder = new Holder();
		ChannelFuture connecting = new Bootstrap().group(this.transport.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Transport.CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel socket) {
					holder.channel = FramedChannel.install(TcpAgentConnection.this.transport, socket,
							TcpAgentConnection.this);
				}
			})
			.connect(this.address);
		connecting.addListener((result) -> this.transport.eventLoop
			.scheduleDirect(() -> onConnected(result.isSuccess() ? holder.channel : null)));
	}

	private void onConnected(@Nullable FramedChannel established) {
		if (established == null || established.isClosed()) {
			this.transport.countConnectFailure();
			reconnectLater();
			return;
		}
		if (this.closed) {
			established.close(CloseReason.LOCAL);
			return;
		}
		this.channel = established;
		established.send(this.greeting.get());
	}

	private void reconnectLater() {
		if (this.closed) {
			return;
		}
		long bound = Math.min(MAXIMUM_DELAY_MS, FIRST_DELAY_MS << Math.min(this.failures, 16));
		this.failures++;
		// Full jitter keeps the gateways of a restarted agent from returning together.
		Duration delay = Duration.ofMillis(1 + this.random.nextLong(bound));
		this.reconnection.set(this.transport.timers.after(delay).subscribe(this::connect));
	}

	@Override
	public Endpoint endpoint() {
		return this.endpoint;
	}

	@Override
	public Optional<Message.Hello> agentHello() {
		return Optional.ofNullable((this.channel != null) ? this.channel.peer() : null);
	}

	@Override
	public long agentMillisSeen() {
		return this.agentMillisSeen;
	}

	@Override
	public boolean send(Message message) {
		return this.channel != null && this.channel.peer() != null && this.channel.send(message);
	}

	@Override
	public Flowable<Message> messages() {
		return this.messages;
	}

	@Override
	public Flowable<Boolean> connectionChanges() {
		return this.connected;
	}

	void check(Supplier<Message.ConfigurationChanges> heartbeat) {
		if (this.channel != null) {
			this.channel.check(heartbeat::get);
		}
	}

	void close() {
		this.closed = true;
		this.reconnection.dispose();
		FramedChannel present = this.channel;
		if (present != null) {
			present.close(CloseReason.LOCAL);
			disconnect(present);
		}
		this.messages.onComplete();
		this.connected.onComplete();
	}

	private void disconnect(FramedChannel source) {
		this.channel = null;
		this.agentMillisSeen = 0;
		if (source.peer() != null) {
			this.connected.onNext(false);
		}
	}

	@Override
	public void onHello(FramedChannel source, Message.Hello hello) {
		if (source != this.channel) {
			return;
		}
		this.failures = 0;
		this.agentMillisSeen = hello.processMillis();
		this.connected.onNext(true);
	}

	@Override
	public void onMessage(FramedChannel source, Message message) {
		if (source != this.channel) {
			return;
		}
		if (message instanceof Message.LoadReport load) {
			see(load);
		}
		else if (message instanceof Message.Completed completed) {
			see(completed.load());
		}
		else if (message instanceof Message.Failed failed) {
			see(failed.load());
		}
		this.messages.onNext(message);
	}

	private void see(Message.LoadReport load) {
		this.agentMillisSeen = Math.max(this.agentMillisSeen, load.agentMillis());
	}

	@Override
	public void onClosed(FramedChannel source, CloseReason reason) {
		if (source != this.channel) {
			return;
		}
		disconnect(source);
		reconnectLater();
	}

	private static final class Holder {

		private volatile @Nullable FramedChannel channel;

	}

}
