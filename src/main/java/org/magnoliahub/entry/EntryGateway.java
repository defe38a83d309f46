package org.magnoliahub.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.serving.CallerLimits;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointSelector;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.GracefulShutdown;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.serving.WindowedRetryBudget;
import org.magnoliahub.time.Timers;

/**
 * The gateway process on the users' platform: one event loop that serves callers, follows
 * the store and forms calls of stages for the other gateways.
 */
public final class EntryGateway {

	/** Share of the time to adopt a configuration that a call may wait for one. */
	private static final double CONFIGURATION_SHARE = 0.75;

	private static final long SHORTEST_CONFIGURATION_WAIT_MILLIS = 2_000;

	/** Share of the time to leave a draining endpoint that may pass until it is seen. */
	private static final int DRAIN_SHARE = 3;

	private static final long LONGEST_ENDPOINT_INTERVAL_MILLIS = 1_300;

	private static final TableWatcher.PollTiming MEMBER_PACE = new TableWatcher.PollTiming(3_000, 0);

	/** Members are seldom new later; links tell which of them live. */
	private static final TableWatcher.PollTiming SETTLED_MEMBER_PACE = new TableWatcher.PollTiming(10_000, 0);

	/** Time after a start in which other gateways may start, too. */
	private static final long SETTLING_MILLIS = 12_000;

	private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(250);

	/** Port and path that the deploy file names. */
	private static final int METRICS_PORT = 9464;

	private static final String METRICS_PATH = "/metrics";

	private static final long LOOP_MILLIS = 1_000;

	private static final Duration METRICS_DELAY = Duration.ofSeconds(8);

	private static final long STOP_CHECK_MILLIS = 50;

	private final NodeSettings settings;

	private final NioEventLoopGroup group;

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics = new EntryMetrics();

	private final EntryContext context;

	private final EndpointDirectory directory = new EndpointDirectory();

	private final StoreEra era = new StoreEra();

	private final StoreClient store;

	private final StoreRestorationReport restoration;

	private final List<TableWatcher> watchers = new ArrayList<>();

	private final AsyncRequestRecorder records;

	private final StageCoordinator stages;

	private final CallerServer callers;

	private final StatusServer readiness = new StatusServer(this::readinessPage);

	private final StatusServer metricsServer = new StatusServer(this::metricsPage);

	private final RandomGenerator random = new SplittableRandom();

	private final MemberTable members;

	private final ConfigurationTable configuration;

	private @Nullable Boolean objectsReachable;

	private int openRequests;

	private long loopDue;

	private final GracefulShutdown stopPlan;

	private EntryGateway(NodeSettings settings, Duration recordInterval, Consumer<String> output) {
		this.settings = settings;
		this.group = new NioEventLoopGroup(1);
		this.timers = new EventLoopTimers(this.group.next());
		this.log = new EntryLog(this.timers, output);
		this.stopPlan = new GracefulShutdown(settings.bounds().graceMillis());
		HttpClient http = new HttpClient(this.group, this.timers);
		NodeSettings.Bounds bounds = settings.bounds();
		WindowedRetryBudget budget = new WindowedRetryBudget(bounds.repeatRatio(), bounds.repeatConstant(),
				bounds.repeatWindowMillis());
		EndpointSelector selector = new EndpointSelector(this.directory, settings.availabilityZone(), this.random);
		this.store = new StoreClient(http, this.timers, this.metrics, text(settings.storeAddress()), this.era,
				this::onEraFault);
		this.restoration = new StoreRestorationReport(this.timers, this.log, this.metrics, this::storeRevision);
		long incarnation = this.random.nextLong(Long.MAX_VALUE);
		this.records = new AsyncRequestRecorder(settings.nodeName(), incarnation,
				PlatformObjectStore.of(this.store, this.group.next(), this::onObjectCall), recordInterval);
		this.context = new EntryContext(this.timers, this.log, this.metrics, http,
				new EndpointNoticeHandler(this.timers, this.log, this.metrics, http), this.directory, selector, budget,
				this::configurationInForce, this.stopPlan, this.records, settings.nodeName());
		this.stages = new StageCoordinator(this.context, this.group, settings.nodeName());
		this.configuration = new ConfigurationTable(this.log, this.restoration, this.stages::setConfiguration);
		MemberRecord own = new MemberRecord(settings.nodeName(), settings.ip() + ":" + settings.internalPort(),
				incarnation);
		this.members = new MemberTable(this.store, this.timers, this.log, own, this.restoration,
				this.stages::setMembers);
		this.callers = new CallerServer(this.timers, this::limits, this::accept, this.log);
	}

	/**
	 * Starts a gateway.
	 * @param settings its settings
	 * @param recordInterval time between two objects with records of requests
	 * @param output takes log lines, must not block
	 * @return the running gateway
	 */
	public static EntryGateway start(NodeSettings settings, Duration recordInterval, Consumer<String> output) {
		long started = System.nanoTime();
		EntryGateway gateway = new EntryGateway(settings, recordInterval, output);
		gateway.group.next().submit(gateway::open).syncUninterruptibly();
		// Binding waits for the event loop, so it is done on this thread.
		try {
			gateway.listen();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		gateway.group.next().execute(() -> gateway.logStart(started));
		return gateway;
	}

	private static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	private void open() {
		this.log.start();
		this.era.subscribe(this::onEra);
		TableWatcher.PollTiming configurationPace = configurationPace();
		TableWatcher.PollTiming endpointPace = endpointPace();
		long settledAt = this.timers.milliTime() + SETTLING_MILLIS;
		watch(StoreFormat.CONFIGURATION_TABLE, () -> configurationPace, this.configuration);
		watch(StoreFormat.ENDPOINT_TABLE, () -> endpointPace,
				new EndpointTable(this.directory, this.timers, this.log, this.restoration));
		this.members.start();
		watch(StoreFormat.MEMBER_TABLE, () -> (this.timers.milliTime() < settledAt) ? MEMBER_PACE : SETTLED_MEMBER_PACE,
				this.members);
		this.timers.repeat(IDLE_CHECK_INTERVAL, () -> this.context.httpClient().closeIdle());
		this.stages.start();
		this.records.start();
		this.timers.schedule(METRICS_DELAY, this::startMetrics);
	}

	// The loop goes on serving while a thread of its own loads the metrics library.
	private void startMetrics() {
		Thread loader = new Thread(() -> {
			PrometheusMeterRegistry registry = EntryMetrics.createRegistry();
			this.group.next().execute(() -> {
				this.metrics.begin(registry);
				addGauges();
				this.loopDue = this.timers.milliTime();
				measureLoop();
			});
		}, "metrics");
		loader.setDaemon(true);
		loader.start();
	}

	private TableWatcher.PollTiming configurationPace() {
		long wait = (long) (CONFIGURATION_SHARE * this.settings.bounds().configurationMillis());
		return new TableWatcher.PollTiming(0, Math.max(SHORTEST_CONFIGURATION_WAIT_MILLIS, wait));
	}

	private void onObjectCall(boolean reachable, String reason) {
		if (Boolean.valueOf(reachable).equals(this.objectsReachable)) {
			return;
		}
		this.objectsReachable = reachable;
		this.log.event(EntryEvent.STORE_CONTACT)
			.field("table", "objects")
			.field("outcome", reachable ? "regained" : "lost")
			.field("reason", reason)
			.write();
	}

	// Endpoints write all the time, so a call that waits for a change would not wait.
	private TableWatcher.PollTiming endpointPace() {
		long interval = this.settings.bounds().drainMillis() / DRAIN_SHARE;
		return new TableWatcher.PollTiming(Math.min(LONGEST_ENDPOINT_INTERVAL_MILLIS, interval), 0);
	}

	private void logStart(long startedNanos) {
		this.log.event(EntryEvent.STARTED)
			.field("node", this.settings.nodeName())
			.field("zone", this.settings.availabilityZone())
			.field("millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
			.write();
	}

	private void listen() throws IOException {
		this.stages.server()
			.listen(this.group, new InetSocketAddress(this.settings.ip(), this.settings.internalPort()));
		if (this.settings.callerAddress() != null) {
			this.callers.listen(this.group, this.settings.callerAddress());
		}
		if (this.settings.readinessAddress() != null) {
			this.readiness.listen(this.group, this.settings.readinessAddress());
		}
		try {
			this.metricsServer.listen(this.group, new InetSocketAddress(this.settings.ip(), METRICS_PORT));
		}
		catch (IOException ex) {
			String reason = String.valueOf(ex.getMessage());
			this.group.next().execute(() -> this.log.event(EntryEvent.LISTEN_FAILED).field("reason", reason).write());
		}
	}

	private Optional<StatusServer.Page> readinessPage(String path) {
		return path.equals(PlatformHeaders.READINESS_PATH) ? Optional.of(new StatusServer.Page(isReady(), ""))
				: Optional.empty();
	}

	private Optional<StatusServer.Page> metricsPage(String path) {
		return switch (path) {
			case METRICS_PATH -> Optional.of(new StatusServer.Page(true, this.metrics.text()));
			case EndpointPage.PATH ->
				Optional.of(new StatusServer.Page(true, EndpointPage.text(this.directory, this.timers.milliTime())));
			default -> Optional.empty();
		};
	}

	private void addGauges() {
		this.metrics.gauge("entry.requests.open", () -> this.openRequests);
		this.metrics.gauge("entry.connections", this.callers::connectionCount);
		this.metrics.gauge("entry.endpoints", this.directory::size);
		this.metrics.gauge("entry.endpoints.age.ms", () -> this.directory.ageMillis(this.timers.milliTime()));
		this.metrics.gauge("entry.members", this.members::size);
		this.metrics.gauge("entry.records.waiting", this.records::queuedCount);
		this.metrics.gauge("entry.records.omitted", this.records::droppedCount);
		this.metrics.gauge("entry.configuration.version", this.configuration::version);
		this.metrics.gauge("entry.store.era", this.era::current);
		this.metrics.gauge("entry.endpoints.leaving",
				() -> this.directory.all().stream().filter(EndpointState::isDraining).count());
		this.metrics.gauge("entry.endpoints.paused", this::pausedEndpoints);
	}

	private long pausedEndpoints() {
		long now = this.timers.milliTime();
		return this.directory.all().stream().filter((endpoint) -> endpoint.isPauseRequested(now)).count();
	}

	private void measureLoop() {
		long now = this.timers.milliTime();
		this.metrics.loopDelay(now - this.loopDue);
		this.loopDue = now + LOOP_MILLIS;
		this.timers.schedule(Duration.ofMillis(LOOP_MILLIS), this::measureLoop);
	}

	private void watch(String table, Supplier<TableWatcher.PollTiming> pace, TableWatcher.Listener listener) {
		TableWatcher watcher = new TableWatcher(this.store, this.timers, this.random, this.log, table, pace, listener);
		this.watchers.add(watcher);
		watcher.start();
	}

	private void onEra(long previous, long current) {
		if (previous != StoreEra.UNKNOWN) {
			this.restoration.begin(previous, current);
			this.records
				.rewriteRecentObjects((objects) -> this.group.next().execute(() -> this.restoration.records(objects)));
		}
		this.watchers.forEach(TableWatcher::onNewEra);
	}

	private void onEraFault(String reason) {
		this.log.event(EntryEvent.STORE_ERA_REJECTED).field("reason", reason).write();
	}

	private long storeRevision() {
		return this.watchers.stream().mapToLong(TableWatcher::revision).max().orElse(-1);
	}

	private Optional<ServingConfiguration> configurationInForce() {
		return this.configuration.inForce();
	}

	private CallerLimits limits() {
		return configurationInForce().map(ServingConfiguration::limits).orElse(CallerLimits.DEFAULT);
	}

	private boolean isReady() {
		return !this.stopPlan.isShuttingDown() && this.configuration.inForce().isPresent() && this.directory.isLoaded();
	}

	private void accept(CallerExchange exchange) {
		this.openRequests++;
		new RequestFlow(this.context, this.stages, exchange, () -> this.openRequests--).start();
	}

	/**
	 * Stops the gateway: it takes no new connections after a while, finishes what it has,
	 * and ends before it would be killed.
	 */
	public void stop() {
		CountDownLatch done = new CountDownLatch(1);
		this.group.next().execute(() -> drain(done));
		try {
			done.await(this.settings.bounds().graceMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		String notWritten = this.records.close();
		if (notWritten != null) {
			this.group.next().execute(() -> {
				this.log.event(EntryEvent.RECORDS_LOST).field("reason", notWritten).write();
				this.log.flush();
			});
		}
	}

	/**
	 * Reads the settings file again. Addresses and limits are those of the start; the
	 * file is checked so that a fault is seen before the next start.
	 * @param environment environment variables that name the file
	 */
	public void reload(Map<String, String> environment) {
		String outcome = "unchanged";
		try {
			if (!NodeSettingsReader.read(environment).equals(this.settings)) {
				outcome = "changed, used at the next start";
			}
		}
		catch (PlatformFormatException ex) {
			outcome = ex.getMessage();
		}
		String logged = (outcome != null) ? outcome : "";
		this.group.next().execute(() -> this.log.event(EntryEvent.SETTINGS_RELOADED).field("outcome", logged).write());
	}

	/**
	 * Ends the gateway at once, as a crash would.
	 */
	void halt() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private void drain(CountDownLatch done) {
		this.stopPlan.begin(this.timers.milliTime());
		this.members.stop();
		this.log.event(EntryEvent.STOPPING)
			.field("open_requests", this.openRequests)
			.field("connections", this.callers.connectionCount())
			.write();
		this.callers.drain();
		this.timers.schedule(Duration.ofMillis(GracefulShutdown.ROTATION_REMOVAL_MILLIS), this.callers::closeIdle);
		this.timers.repeat(Duration.ofMillis(STOP_CHECK_MILLIS), () -> {
			long now = this.timers.milliTime();
			boolean idle = this.openRequests == 0 && this.callers.connectionCount() == 0
					&& this.stopPlan.isOutOfRotation(now);
			if (done.getCount() > 0 && (idle || now >= this.stopPlan.exitDeadline())) {
				this.callers.close();
				this.log.event(EntryEvent.STOPPED).field("open_requests", this.openRequests).write();
				this.log.flush();
				done.countDown();
			}
		});
	}

}
