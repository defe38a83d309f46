package org.magnoliahub.server;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.javalin.Javalin;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.magnoliahub.agent.ControlHandler;
import org.magnoliahub.agent.EndpointAgent;
import org.magnoliahub.agent.EndpointClient;
import org.magnoliahub.agent.GatewayLink;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.ProtocolVersion;
import org.magnoliahub.transport.AgentServer;
import org.magnoliahub.transport.GatewaySession;
import org.magnoliahub.transport.Transport;

/**
 * The process that runs beside one endpoint.
 */
public final class AgentProcess implements AutoCloseable {

	private static final Logger LOGGER = System.getLogger(AgentProcess.class.getName());

	private static final int ADMIN_THREADS = 8;

	private static final int ADMIN_CONNECTIONS = 32;

	private final AgentSettings settings;

	private final EventLoop loop;

	private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Transport transport;

	private final EndpointAgent agent;

	private final ControlHandler control;

	private final ConfigurationRelay relay;

	private final AgentServer server;

	private final Javalin admin;

	private AgentProcess(AgentSettings settings, EventLoop loop, EndpointClientFactory clients) throws IOException {
		this.settings = settings;
		this.loop = loop;
		this.transport = Transport.create(loop.scheduler(), loop.timers(), this.meters);
		long incarnation = new SecureRandom().nextLong(1, Long.MAX_VALUE);
		EndpointClient client = clients.create(settings, loop);
		this.agent = EndpointAgent.of(incarnation, client, loop.timers(), settings.limits(), this.meters);
		this.control = ControlHandler.of(incarnation, client, this.meters);
		this.relay = ConfigurationRelay.create(loop.timers());
		this.server = AgentServer.start(this.transport, new InetSocketAddress(settings.host(), settings.port()),
				AgentServer.DEFAULT_MAXIMUM_CONNECTIONS, this::greeting, this.agent::load, this::accept);
		loop.call(() -> this.relay.start(this::configurationChanged));
		this.admin = HttpServers.start("admin", settings.host(), settings.adminPort(), ADMIN_THREADS, ADMIN_CONNECTIONS,
				(config) -> {
				}, this::addAdminRoutes);
		LOGGER.log(Level.INFO, "agent started endpoint={0} port={1} adminPort={2} incarnation={3}", settings.endpoint(),
				String.valueOf(port()), String.valueOf(adminPort()), String.valueOf(incarnation));
	}

	/**
	 * Starts an agent.
	 * @param settings its settings
	 * @param loop its event loop, closed with the process
	 * @param clients creates the client of the back end
	 * @return the running process
	 * @throws IOException if a port cannot be bound
	 */
	public static AgentProcess start(AgentSettings settings, EventLoop loop, EndpointClientFactory clients)
			throws IOException {
		return new AgentProcess(settings, loop, clients);
	}

	/**
	 * Returns the port for gateways.
	 * @return the local port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the port for operators.
	 * @return the local port
	 */
	public int adminPort() {
		return this.admin.port();
	}

	/**
	 * Stops gracefully: refuses new work and waits for running calls.
	 * @param patience longest wait
	 * @return whether all calls ended in time
	 */
	public boolean drain(Duration patience) {
		LOGGER.log(Level.INFO, "agent draining endpoint={0}", this.settings.endpoint());
		return this.loop.call(this.agent::drain).blockingAwait(patience.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes all connections and stops at once.
	 */
	@Override
	public void close() {
		this.admin.stop();
		this.server.close();
		this.transport.close();
		this.loop.close();
		LOGGER.log(Level.INFO, "agent stopped endpoint={0}", this.settings.endpoint());
	}

	private Message.Hello greeting() {
		return new Message.Hello(ProtocolVersion.CURRENT, "agent-" + this.settings.endpoint(), this.agent.incarnation(),
				this.settings.availabilityZone().name(), this.settings.endpoint(), 0, this.loop.timers().milliTime(),
				this.agent.isDraining());
	}

	private void accept(GatewaySession session) {
		GatewayLink link = session::send;
		this.agent.addConnection(link);
		this.relay.connected(session);
		session.messages()
			.onBackpressureBuffer()
			.subscribe((message) -> receive(session, link, message), (failure) -> session.close(), () -> {
				this.agent.removeConnection(link);
				this.relay.disconnected(session);
			});
	}

	private void receive(GatewaySession session, GatewayLink link, Message message) {
		if (message instanceof Message.Control command) {
			this.control.receive(link, command);
			return;
		}
		if (message instanceof Message.ConfigurationChanges changes) {
			this.relay.receive(session, changes);
			return;
		}
		this.agent.receive(link, message);
	}

	private void configurationChanged(Configuration configuration) {
		Endpoint endpoint = configuration.endpoints().get(this.settings.endpoint());
		this.agent.setConfiguredDraining(endpoint != null && endpoint.draining());
	}

	private void addAdminRoutes(Javalin javalin) {
		AdminRoutes.add(javalin, () -> !this.loop.call(this.agent::isDraining), this.meters);
		javalin.post("/drain", (context) -> {
			this.loop.call(this.agent::drain);
			context.result("draining\n");
		});
	}

}
