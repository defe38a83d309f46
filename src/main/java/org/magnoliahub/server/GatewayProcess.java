package org.magnoliahub.server;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.javalin.Javalin;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.magnoliahub.claim.ClaimRepository;
import org.magnoliahub.claim.ClaimSettings;
import org.magnoliahub.configuration.ConfigurationHolder;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.gateway.RequestCoordinator;
import org.magnoliahub.gateway.RequestRecorder;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.platform.PlatformServices;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.ProtocolVersion;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.transport.TcpAgentConnections;
import org.magnoliahub.transport.Transport;

/**
 * The process that serves callers.
 */
public final class GatewayProcess implements AutoCloseable {

	private static final Logger LOGGER = System.getLogger(GatewayProcess.class.getName());

	private static final int EXTRA_THREADS = 16;

	private static final int ADMIN_THREADS = 12;

	private static final int ADMIN_CONNECTIONS = 64;

	private final GatewaySettings settings;

	private final EventLoop loop;

	private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final RandomGenerator random = new SecureRandom();

	private final long incarnation = this.random.nextLong(1, Long.MAX_VALUE);

	private final CompositeDisposable subscriptions = new CompositeDisposable();

	private final Transport transport;

	private final EndpointConnections connections;

	private final ConfigurationHolder holder;

	private final ClaimCleanupDuty cleanup;

	private final VmWatcher vmWatcher;

	private final RequestCoordinator coordinator;

	private final Javalin callers;

	private final Javalin admin;

	private GatewayProcess(GatewaySettings settings, EventLoop loop, PlatformServices platform,
			RequestRecorder recorder) {
		this.settings = settings;
		this.loop = loop;
		this.transport = Transport.create(loop.scheduler(), loop.timers(), this.meters);
		TcpAgentConnections agents = TcpAgentConnections.create(this.transport, this::greeting, this::versionInForce,
				this.random);
		this.connections = new EndpointConnections(agents, settings.name(), settings.availabilityZone(), this.random,
				this.meters);
		this.holder = ConfigurationHolder.of(ConfigurationRepository.of(platform.tableStore(), platform.objectStore()),
				this.connections, loop.timers(), this.random);
		StageScheduler scheduler = settings.policy()
			.create(this.holder::configuration, loop.timers(), this.random, settings.availabilityZone(),
					settings.name());
		ClaimRepository claims = ClaimRepository.of(platform.tableStore(), loop.timers(), this.random,
				ClaimSettings.defaults());
		this.coordinator = RequestCoordinator.of(settings.name(), this.holder::configuration, scheduler, agents, claims,
				loop.timers(), this.random, settings.limits(), Instant::now, recorder, this.meters);
		this.cleanup = new ClaimCleanupDuty(settings.name(), platform.tableStore(), loop.timers(),
				ClaimSettings.defaults(), this.meters);
		this.vmWatcher = new VmWatcher(platform.vmInventory(), loop.timers(), this.random, this.meters);
		loop.call(() -> startCore(scheduler));
		this.callers = HttpServers.start("callers", settings.host(), settings.port(),
				settings.maximumStreams() + EXTRA_THREADS, settings.maximumConnections(), (config) -> {
				}, (javalin) -> CallerRoutes.add(javalin, this.coordinator, loop.scheduler()));
		this.admin = HttpServers.start("admin", settings.host(), settings.adminPort(), ADMIN_THREADS, ADMIN_CONNECTIONS,
				(config) -> {
				}, (javalin) -> AdminRoutes.add(javalin, this::isReady, this.meters));
		LOGGER.log(Level.INFO, "gateway started name={0} port={1} adminPort={2}", settings.name(),
				String.valueOf(port()), String.valueOf(adminPort()));
	}

	/**
	 * Starts a gateway.
	 * @param settings its settings
	 * @param loop its event loop, closed with the process
	 * @param platform the platform, whose results arrive on the event loop
	 * @param recorder receives the record of each request, on the event loop
	 * @return the running process
	 * @throws IOException if a port cannot be bound
	 */
	public static GatewayProcess start(GatewaySettings settings, EventLoop loop, PlatformServices platform,
			RequestRecorder recorder) throws IOException {
		return new GatewayProcess(settings, loop, platform, recorder);
	}

	/**
	 * Returns the port for callers.
	 * @return the local port
	 */
	public int port() {
		return this.callers.port();
	}

	/**
	 * Returns the port for operators.
	 * @return the local port
	 */
	public int adminPort() {
		return this.admin.port();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.loop.call(this.holder::configuration);
	}

	/**
	 * Returns whether the gateway accepts requests.
	 * @return whether it has a configuration and a connection to an agent
	 */
	public boolean isReady() {
		return this.loop.call(() -> this.holder.status().ready() && !this.connections.connected().isEmpty());
	}

	/**
	 * Stops gracefully: refuses new requests and waits for those in flight.
	 * @param patience longest wait
	 * @return whether all requests ended in time
	 */
	public boolean drain(Duration patience) {
		LOGGER.log(Level.INFO, "gateway draining name={0}", this.settings.name());
		return this.loop.call(this.coordinator::drain).blockingAwait(patience.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes all connections and stops at once.
	 */
	@Override
	public void close() {
		this.callers.stop();
		this.admin.stop();
		this.loop.call(() -> {
			this.holder.stop();
			this.cleanup.stop();
			this.vmWatcher.stop();
			this.subscriptions.dispose();
			this.connections.closeAll();
			return true;
		});
		this.transport.close();
		this.loop.close();
		LOGGER.log(Level.INFO, "gateway stopped name={0}", this.settings.name());
	}

	private boolean startCore(StageScheduler scheduler) {
		this.meters.gauge("magnoliahub.configuration.version", this.holder,
				(source) -> source.configuration().version());
		this.meters.gauge("magnoliahub.configuration.stale", this.holder, (source) -> source.status().stale() ? 1 : 0);
		this.subscriptions.add(this.holder.configurations().subscribe((configuration) -> {
			LOGGER.log(Level.INFO, "configuration in force version={0}", String.valueOf(configuration.version()));
			this.connections.apply(configuration, scheduler, this.holder);
		}));
		this.holder.start();
		this.cleanup.start();
		this.vmWatcher.start((vms) -> this.connections.vmsListed(vms, scheduler, this.holder));
		return true;
	}

	private Message.Hello greeting() {
		return new Message.Hello(ProtocolVersion.CURRENT, this.settings.name(), this.incarnation,
				this.settings.availabilityZone().name(), "", this.holder.configuration().version(),
				this.loop.timers().milliTime(), false);
	}

	private Message.ConfigurationChanges versionInForce() {
		return new Message.ConfigurationChanges(this.holder.configuration().version(), List.of());
	}

}
