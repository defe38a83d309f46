package org.magnoliahub.server;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.javalin.Javalin;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.claim.ClaimAdministration;
import org.magnoliahub.claim.ClaimRepository;
import org.magnoliahub.claim.ClaimSettings;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ConfigurationSynchronizer;
import org.magnoliahub.gateway.RequestCoordinator;
import org.magnoliahub.gateway.RequestRecorder;
import org.magnoliahub.lease.LeaseDirectory;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.ProtocolVersion;
import org.magnoliahub.query.QueryService;
import org.magnoliahub.query.QuerySources;
import org.magnoliahub.report.RecordCleanup;
import org.magnoliahub.report.RecordReader;
import org.magnoliahub.report.RecordWriter;
import org.magnoliahub.report.ReportBuilder;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.store.PlatformServices;
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

	/** Longest wait for the last records at a stop. */
	private static final long FLUSH_SECONDS = 5;

	private static final int RECORD_RETENTION_DAYS = 14;

	// At target size 360 gateways write 36 objects a second and remove up to 60.
	private static final Duration RECORD_CLEANUP_PERIOD = Duration.ofMinutes(10);

	private static final int RECORDS_REMOVED_PER_PERIOD = 100;

	/** Most objects read for one day of a report; a larger system uses the command. */
	private static final int REPORT_OBJECTS = 50_000;

	private final GatewaySettings settings;

	private final EventLoop loop;

	private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final RandomGenerator random = new SecureRandom();

	private final long incarnation = this.random.nextLong(1, Long.MAX_VALUE);

	private final CompositeDisposable subscriptions = new CompositeDisposable();

	private final Transport transport;

	private final EndpointConnections connections;

	private final ConfigurationSynchronizer holder;

	private final ClaimCleanupDuty cleanup;

	private final VmWatcher vmWatcher;

	private final RecordWriter records;

	private final RecordCleanup recordCleanup;

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
		ConfigurationRepository repository = ConfigurationRepository.of(platform.tableStore(), platform.objectStore());
		this.holder = ConfigurationSynchronizer.of(repository, this.connections, loop.timers(), this.random);
		this.records = RecordWriter.of(settings.name(), this.incarnation, platform.objectStore(), loop.timers(),
				Instant::now, this.random, settings.records(), this.meters);
		this.recordCleanup = RecordCleanup.of(platform.objectStore(), Instant::now, RECORD_RETENTION_DAYS);
		StageScheduler scheduler = settings.policy()
			.create(this.holder::configuration, loop.timers(), this.random, settings.availabilityZone(),
					settings.name());
		ClaimRepository claims = ClaimRepository.of(platform.tableStore(), loop.timers(), this.random,
				ClaimSettings.defaults());
		this.coordinator = RequestCoordinator.of(settings.name(), this.holder::configuration, scheduler, agents, claims,
				loop.timers(), this.random, settings.limits(), Instant::now, (record) -> {
					this.records.record(record);
					recorder.record(record);
				}, this.meters);
		this.cleanup = new ClaimCleanupDuty(settings.name(), platform.tableStore(), loop.timers(),
				ClaimSettings.defaults(), this.meters);
		this.vmWatcher = new VmWatcher(platform.vmInventory(), loop.timers(), this.random, this.meters);
		loop.call(() -> startCore(scheduler));
		this.callers = HttpServers.start("callers", settings.host(), settings.port(),
				settings.maximumStreams() + EXTRA_THREADS, settings.maximumConnections(), (config) -> {
				}, (javalin) -> CallerRoutes.add(javalin, this.coordinator, loop.scheduler()));
		this.admin = HttpServers.start("admin", settings.host(), settings.adminPort(), ADMIN_THREADS, ADMIN_CONNECTIONS,
				(config) -> {
				}, (javalin) -> {
					AdminRoutes.add(javalin, this::isReady, this.meters);
					addOperatorRoutes(javalin, platform, repository);
				});
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
		boolean flushed = this.loop.call(this.records::close).blockingAwait(FLUSH_SECONDS, TimeUnit.SECONDS);
		if (!flushed) {
			LOGGER.log(Level.WARNING, "records of requests were not written, the object store does not answer");
		}
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
		this.records.start();
		this.subscriptions.add(recordCleanupTicks()
			.concatMapSingle((tick) -> this.recordCleanup.run(RECORDS_REMOVED_PER_PERIOD)
				.doOnError((failure) -> this.meters.counter("magnoliahub.records.cleanup.failures").increment())
				.onErrorReturnItem(0))
			.subscribe((removed) -> this.meters.counter("magnoliahub.records.objects.removed").increment(removed)));
		this.vmWatcher.start((vms) -> this.connections.vmsListed(vms, scheduler, this.holder));
		return true;
	}

	private Flowable<Long> recordCleanupTicks() {
		long offset = this.random.nextLong(RECORD_CLEANUP_PERIOD.toMillis());
		return this.loop.timers()
			.after(Duration.ofMillis(offset))
			.andThen(this.loop.timers().every(RECORD_CLEANUP_PERIOD));
	}

	private void addOperatorRoutes(Javalin javalin, PlatformServices platform, ConfigurationRepository repository) {
		Supplier<String> ids = () -> UUID.randomUUID().toString();
		RecordReader reader = RecordReader.of(platform.objectStore(), Schedulers.computation());
		ClaimAdministration claims = ClaimAdministration.of(platform.tableStore());
		QuerySources sources = new QuerySources(reader, this.records::unwritten, repository, claims,
				LeaseDirectory.of(platform.tableStore()), this.connections::usable, Instant::now, ids);
		RefusalAudit refusals = new RefusalAudit(this.settings.name(), repository, this.loop.timers(), Instant::now,
				ids, this.meters);
		OperatorRoutes.add(javalin, this.settings.operators(), refusals, QueryService.of(sources),
				ReportBuilder.of(reader, repository, claims, Instant::now, REPORT_OBJECTS), this.loop.scheduler());
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
