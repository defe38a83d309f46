package org.magnoliahub.simulation;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.agent.EndpointAgent;
import org.magnoliahub.agent.GatewayLink;
import org.magnoliahub.gateway.AgentConnection;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.ProtocolVersion;
import org.magnoliahub.time.TimerService;

/**
 * Connection of one gateway to one agent: ordered delivery with a latency, cuts that lose
 * what is on the way, optional duplicates of what the agent sends, and reconnection.
 */
final class SimulatedLink implements AgentConnection {

	private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(10);

	private final SimulatedAgent agent;

	private final ProcessTimer gatewayTimer;

	private final TimerService network;

	private final RandomGenerator random;

	private final PublishProcessor<Message> messages = PublishProcessor.create();

	private final PublishProcessor<Boolean> connected = PublishProcessor.create();

	private @Nullable Session session;

	private double duplicateProbability;

	private boolean blocked;

	private long toAgentStalledUntil;

	private long toGatewayStalledUntil;

	SimulatedLink(SimulatedAgent agent, ProcessTimer gatewayTimer, TimerService network, RandomGenerator random) {
		this.agent = agent;
		this.gatewayTimer = gatewayTimer;
		this.network = network;
		this.random = random;
		agent.addLink(this);
		connect();
		network.every(HEARTBEAT_INTERVAL).subscribe((tick) -> heartbeat());
	}

	void setDuplicateProbability(double probability) {
		this.duplicateProbability = probability;
	}

	/**
	 * Cuts the connection and keeps it from being restored.
	 */
	void block() {
		this.blocked = true;
		cut();
	}

	void unblock() {
		this.blocked = false;
		reconnectLater();
	}

	/**
	 * Holds messages to the agent back, as a network does that loses packets for a while.
	 * @param time how long
	 */
	void stallToAgent(Duration time) {
		this.toAgentStalledUntil = this.network.nanoTime() + time.toNanos();
	}

	/**
	 * Holds messages to the gateway back.
	 * @param time how long
	 */
	void stallToGateway(Duration time) {
		this.toGatewayStalledUntil = this.network.nanoTime() + time.toNanos();
	}

	/**
	 * Closes the connection after what the agent sent has arrived, as the end of its
	 * process does.
	 */
	void closeFromAgent() {
		Session present = this.session;
		if (present == null) {
			reconnectLater();
			return;
		}
		present.agentClosed = true;
		Duration rest = Duration.ofNanos(Math.max(0, present.lastToGateway - this.network.nanoTime()));
		this.network.after(rest).subscribe(() -> {
			if (this.session == present) {
				cut();
			}
			reconnectLater();
		});
	}

	void cut() {
		Session present = this.session;
		if (present != null) {
			this.session = null;
			present.closed = true;
			present.agentCoreAtOpen.removeConnection(present);
			this.gatewayTimer.whenRunning().subscribe(() -> this.connected.onNext(false));
		}
	}

	void reconnectLater() {
		Duration delay = Duration.ofMillis(5 + this.random.nextInt(100));
		this.network.after(delay).andThen(this.gatewayTimer.whenRunning()).subscribe(this::connect);
	}

	private void heartbeat() {
		Session present = this.session;
		if (present != null && !present.agentTimer.isFrozen()) {
			present.send(present.agentCoreAtOpen.load());
		}
	}

	private void connect() {
		if (this.session != null || this.blocked || this.gatewayTimer.isDead()) {
			return;
		}
		if (this.agent.timer().isFrozen()) {
			reconnectLater();
			return;
		}
		Session opened = new Session();
		this.session = opened;
		this.agent.core().addConnection(opened);
		this.connected.onNext(true);
	}

	@Override
	public Endpoint endpoint() {
		return this.agent.endpoint();
	}

	@Override
	public Optional<Message.Hello> agentHello() {
		return Optional.ofNullable(this.session).map((present) -> present.hello);
	}

	@Override
	public long agentMillisSeen() {
		return (this.session != null) ? this.session.agentMillisSeen : 0;
	}

	@Override
	public boolean send(Message message) {
		Session present = this.session;
		if (present == null || this.gatewayTimer.isDead()) {
			return false;
		}
		present.sendToAgent(message);
		return true;
	}

	@Override
	public Flowable<Message> messages() {
		return this.messages.onBackpressureBuffer();
	}

	@Override
	public Flowable<Boolean> connectionChanges() {
		return this.connected.onBackpressureBuffer();
	}

	private Duration latency() {
		return Duration.ofNanos(200_000L + this.random.nextLong(2_000_000L));
	}

	private final class Session implements GatewayLink {

		private final EndpointAgent agentCoreAtOpen = SimulatedLink.this.agent.core();

		private final ProcessTimer agentTimer = SimulatedLink.this.agent.timer();

		private final Message.Hello hello = new Message.Hello(ProtocolVersion.CURRENT, "agent",
				this.agentCoreAtOpen.incarnation(), "zone", SimulatedLink.this.agent.endpoint().name(), 0,
				SimulatedLink.this.network.milliTime(), this.agentCoreAtOpen.isDraining());

		private long agentMillisSeen = this.hello.processMillis();

		private long lastToAgent;

		private long lastToGateway;

		private boolean closed;

		private boolean agentClosed;

		private void sendToAgent(Message message) {
			long now = SimulatedLink.this.network.nanoTime();
			this.lastToAgent = Math.max(this.lastToAgent,
					Math.max(now, SimulatedLink.this.toAgentStalledUntil) + latency().toNanos());
			SimulatedLink.this.network.after(Duration.ofNanos(this.lastToAgent - now))
				.andThen(this.agentTimer.whenRunning())
				.subscribe(() -> {
					if (!this.closed && !this.agentClosed) {
						this.agentCoreAtOpen.receive(this, message);
					}
				});
		}

		@Override
		public boolean send(Message message) {
			if (this.agentTimer.isDead()) {
				return false;
			}
			deliverToGateway(message);
			if (SimulatedLink.this.random.nextDouble() < SimulatedLink.this.duplicateProbability) {
				deliverToGateway(message);
			}
			return true;
		}

		private void deliverToGateway(Message message) {
			long now = SimulatedLink.this.network.nanoTime();
			this.lastToGateway = Math.max(this.lastToGateway,
					Math.max(now, SimulatedLink.this.toGatewayStalledUntil) + latency().toNanos());
			SimulatedLink.this.network.after(Duration.ofNanos(this.lastToGateway - now))
				.andThen(SimulatedLink.this.gatewayTimer.whenRunning())
				.subscribe(() -> {
					if (!this.closed) {
						see(message);
						SimulatedLink.this.messages.onNext(message);
					}
				});
		}

		private void see(Message message) {
			if (message instanceof Message.Completed completed) {
				this.agentMillisSeen = Math.max(this.agentMillisSeen, completed.load().agentMillis());
			}
			else if (message instanceof Message.Draining) {
				sendToAgent(message);
			}
			else if (message instanceof Message.LoadReport load) {
				this.agentMillisSeen = Math.max(this.agentMillisSeen, load.agentMillis());
			}
		}

	}

}
