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
import org.magnoliahub.coldstart.ColdBounds;
import org.magnoliahub.coldstart.ColdServers;
import org.magnoliahub.placement.Placement;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.serving.BalancedLoads;
import org.magnoliahub.serving.BodyMemory;
import org.magnoliahub.serving.CallerLimits;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointSelector;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.GatewayGroup;
import org.magnoliahub.serving.GracefulShutdown;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.serving.WindowedRetryBudget;
import org.magnoliahub.time.Timers;

/**
 * A gateway on the users' platform. One event loop serves callers, mirrors the tables of
 * the store, and batches stage calls for the other gateways.
 */
public final class EntryGateway {

	private static final TableWatcher.PollTiming STARTUP_MEMBER_TIMING = new TableWatcher.PollTiming(3_000, 0);

	/**
	 * After startup new members are rare, and heartbeats on the peer links detect lost
	 * ones.
	 */
	private static final TableWatcher.PollTiming STEADY_MEMBER_TIMING = new TableWatcher.PollTiming(10_000, 0);

	/** Time after the start of this gateway in which others may start as well. */
	private static final long STARTUP_MILLIS = 12_000;

	private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(250);

	/** Port of the metrics. The deployment file names it and the path. */
	private static final int METRICS_PORT = 9464;

	private static final String METRICS_PATH = "/metrics";

	private static final long LOOP_SAMPLE_MILLIS = 1_000;

	/**
	 * Time from the start to the first read of the evidence, within the contact bound.
	 */
	private static final Duration PROMPT_EVIDENCE_DELAY = Duration.ofSeconds(1);

	/** Small shares, because buffers grow by doubling: a body may take twice its size. */
	private static final long REQUEST_HEAP_DIVISOR = 5;

	private static final long RESPONSE_HEAP_DIVISOR = 8;

	private static final long HEAD_HEAP_DIVISOR = 10;

	private static final long UNREAD_HEAP_DIVISOR = 8;

	private static final Duration METRICS_START_DELAY = Duration.ofSeconds(8);

	private final NodeSettings settings;

	private final NioEventLoopGroup group;

	private final Timers timers;

	private final EntryLog log;

	private final EntryMetrics metrics = new EntryMetrics();

	private final EntryContext context;

	private final Placement placement;

	private final EndpointDirectory directory;

	/** {@code null} if requests to cold servers are not limited. */
	private final @Nullable ColdServers coldServers;

	private final StoreEra era = new StoreEra();

	private final StoreClient store;

	private final StoreRestorationReport restorationReport;

	private final List<TableWatcher> watchers = new ArrayList<>();

	private final AsyncRequestRecorder requestRecorder;

	private final StageCoordinator stageCoordinator;

	private final CallerServer callerServer;

	private final DescriptorLimits descriptorLimits;

	private final StatusServer readinessServer;

	private final StatusServer metricsServer;

	private final RandomGenerator random = new SplittableRandom();

	private final MemberTable memberTable;

	private final ConfigurationTable configurationTable;

	private @Nullable Boolean objectsReachable;

	private final OpenRequests openRequests = new OpenRequests();

	private @Nullable ShutdownSequence shutdownSequence;

	private long loopSampleDue;

	private final GracefulShutdown gracefulShutdown;

	private EntryGateway(NodeSettings settings, Duration recordInterval, Consumer<String> output,
			BodyMemory requestMemory, BodyMemory responseMemory) {
		this.settings = settings;
		this.descriptorLimits = DescriptorLimits.ofSettings(settings.maximumDescriptors());
		this.readinessServer = new StatusServer(this::readinessPage, connections("readiness_connections"));
		this.metricsServer = new StatusServer(this::metricsPage, connections("metrics_connections"));
		this.placement = new Placement(settings.regionsByZone());
		this.directory = new EndpointDirectory(this.placement);
		this.group = new NioEventLoopGroup(1);
		this.timers = new EventLoopTimers(this.group.next(), this::onFailedTask);
		this.log = new EntryLog(this.timers, output);
		this.gracefulShutdown = new GracefulShutdown(settings.bounds().graceMillis());
		HttpClient httpClient = new HttpClient(this.group, this.timers);
		NodeSettings.Bounds bounds = settings.bounds();
		WindowedRetryBudget retryBudget = new WindowedRetryBudget(bounds.repeatRatio(), bounds.repeatConstant(),
				bounds.repeatWindowMillis());
		EndpointSelector selector = new EndpointSelector(this.directory, settings.availabilityZone(), this.random);
		this.store = new StoreClient(httpClient, this.timers, this.metrics, hostAndPort(settings.storeAddress()),
				this.era, this::onRejectedEra);
		this.restorationReport = new StoreRestorationReport(this.timers, this.log, this.metrics, this::storeRevision);
		long incarnation = this.random.nextLong(Long.MAX_VALUE);
		this.requestRecorder = new AsyncRequestRecorder(settings.nodeName(), incarnation,
				PlatformObjectStore.of(this.store, this.group.next(), this::onObjectCall), recordInterval);
		GatewayGroup gateways = new GatewayGroup(settings.nodeName());
		this.coldServers = createColdServers(settings);
		if (this.coldServers != null) {
			this.placement.setReopeningListener(this.coldServers::markZoneCold);
		}
		this.configurationTable = new ConfigurationTable(this.timers, this.log, this.era, this.restorationReport,
				this::useConfiguration);
		this.context = new EntryContext(this.timers, this.log, this.metrics, httpClient,
				new EndpointNoticeHandler(this.timers, this.log, this.metrics, httpClient, gateways, this.placement),
				gateways, this.directory, selector, retryBudget,
				new CrashingPrompts(this.group, this.timers, this.log, settings.nodeName()), this.configurationTable,
				this.gracefulShutdown, responseMemory, this.requestRecorder, settings.nodeName());
		this.stageCoordinator = new StageCoordinator(this.context, this.group, settings.nodeName(),
				this.descriptorLimits.gateways());
		MemberRecord self = new MemberRecord(settings.nodeName(), settings.ip() + ":" + settings.internalPort(),
				incarnation);
		this.memberTable = new MemberTable(this.store, this.timers, this.log, self, this.restorationReport,
				this::useMembers);
		long heapBytes = Runtime.getRuntime().maxMemory();
		CallerMemory callerMemory = new CallerMemory(new BodyMemory(heapBytes / HEAD_HEAP_DIVISOR), requestMemory,
				new BodyMemory(heapBytes / UNREAD_HEAP_DIVISOR));
		this.callerServer = new CallerServer(this.timers, this::limits, this::accept, this.log, this.metrics,
				callerMemory, this.descriptorLimits.callers());
	}

	private @Nullable ColdServers createColdServers(NodeSettings nodeSettings) {
		ColdBounds bounds = nodeSettings.bounds().cold();
		if (bounds == null) {
			return null;
		}
		return new ColdServers(bounds, nodeSettings.nodeName(), this.directory,
				new ColdServerReport(this.log, this.metrics));
	}

	/**
	 * Starts a gateway.
	 * @param settings its settings
	 * @param recordInterval time between two objects with request records
	 * @param output receives log lines, must not block
	 * @return the running gateway
	 */
	public static EntryGateway start(NodeSettings settings, Duration recordInterval, Consumer<String> output) {
		long heapBytes = Runtime.getRuntime().maxMemory();
		return start(settings, recordInterval, output, new BodyMemory(heapBytes / REQUEST_HEAP_DIVISOR),
				new BodyMemory(heapBytes / RESPONSE_HEAP_DIVISOR));
	}

	/**
	 * Starts a gateway with limits on the memory for bodies.
	 * @param settings its settings
	 * @param recordInterval time between two objects with request records
	 * @param output receives log lines, must not block
	 * @param requestMemory bounds the bodies of requests
	 * @param responseMemory bounds the incomplete answers
	 * @return the running gateway
	 */
	static EntryGateway start(NodeSettings settings, Duration recordInterval, Consumer<String> output,
			BodyMemory requestMemory, BodyMemory responseMemory) {
		long started = System.nanoTime();
		EntryGateway gateway = new EntryGateway(settings, recordInterval, output, requestMemory, responseMemory);
		gateway.group.next().submit(gateway::startOnLoop).syncUninterruptibly();
		// Binding waits for the event loop, so it must not run on it.
		try {
			gateway.listen();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		gateway.group.next().execute(() -> gateway.logStart(started));
		return gateway;
	}

	private RecentChannels connections(String reason) {
		return new RecentChannels(this.descriptorLimits.status(), () -> this.metrics.clientRefused(reason));
	}

	private static String hostAndPort(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	private void startOnLoop() {
		this.log.start();
		this.era.subscribe(this::onEra);
		TableWatcher.PollTiming endpointTiming = PollTimings.endpoints(this.settings.bounds());
		long startupEnd = this.timers.milliTime() + STARTUP_MILLIS;
		if (this.settings.bounds().evacuationMillis() > 0) {
			this.configurationTable.awaitList();
		}
		startWatcher(StoreFormat.CONFIGURATION_TABLE, PollTimings.operator(this.settings.bounds()),
				new OperatorTable(this.configurationTable, this.placement, this.timers, this.log, this.metrics));
		startWatcher(StoreFormat.ENDPOINT_TABLE, endpointTiming,
				new EndpointTable(this.directory, this.timers, this.log, this.restorationReport, this.coldServers));
		this.memberTable.start();
		startWatcher(StoreFormat.MEMBER_TABLE,
				() -> (this.timers.milliTime() < startupEnd) ? STARTUP_MEMBER_TIMING : STEADY_MEMBER_TIMING,
				this.memberTable);
		this.timers.schedule(PROMPT_EVIDENCE_DELAY, this::followPromptEvidence);
		this.timers.schedulePeriodically(IDLE_CHECK_INTERVAL, () -> this.context.httpClient().closeIdle());
		this.stageCoordinator.start();
		this.requestRecorder.start();
		this.timers.schedule(METRICS_START_DELAY, this::startMetrics);
	}

	private void startMetrics() {
		BackgroundLoad.start("metrics", EntryMetrics::createRegistry, this.group.next(), this::useRegistry);
	}

	private void useRegistry(PrometheusMeterRegistry registry) {
		this.metrics.setRegistry(registry);
		addGauges();
		this.loopSampleDue = this.timers.milliTime();
		sampleLoopDelay();
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

	private void logStart(long startedNanos) {
		this.log.event(EntryEvent.STARTED)
			.field("node", this.settings.nodeName())
			.field("zone", this.settings.availabilityZone())
			.field("millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos))
			.write();
	}

	private void listen() throws IOException {
		this.stageCoordinator.server()
			.listen(this.group, new InetSocketAddress(this.settings.ip(), this.settings.internalPort()));
		if (this.settings.callerAddress() != null) {
			this.callerServer.listen(this.group, this.settings.callerAddress());
		}
		if (this.settings.readinessAddress() != null) {
			this.readinessServer.listen(this.group, this.settings.readinessAddress());
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
			case METRICS_PATH -> Optional.of(new StatusServer.Page(true, this.metrics.scrape()));
			case EndpointPage.PATH ->
				Optional.of(new StatusServer.Page(true, EndpointPage.text(this.directory, this.timers.milliTime())));
			default -> Optional.empty();
		};
	}

	private void addGauges() {
		this.metrics.gauge("entry.requests.open", this.openRequests::count);
		this.metrics.gauge("entry.connections", this.callerServer::connectionCount);
		this.metrics.gauge("entry.endpoints", this.directory::size);
		this.metrics.gauge("entry.endpoints.age.ms", () -> this.directory.ageMillis(this.timers.milliTime()));
		this.metrics.gauge("entry.members", this.memberTable::size);
		this.metrics.gauge("entry.records.waiting", this.requestRecorder::queuedCount);
		this.metrics.gauge("entry.records.omitted", this.requestRecorder::droppedCount);
		this.metrics.gauge("entry.configuration.version", this.configurationTable::version);
		this.metrics.gauge("entry.configuration.age.ms", this.configurationTable::ageMillis);
		this.metrics.gauge("entry.zones.evacuated", this.placement::evacuatedCount);
		this.metrics.gauge("entry.store.era", this.era::current);
		this.metrics.gauge("entry.endpoints.leaving",
				() -> this.directory.all().stream().filter(EndpointState::isDraining).count());
		this.metrics.gauge("entry.endpoints.paused", this::pausedEndpoints);
		this.metrics.gauge("entry.endpoints.balanced",
				() -> BalancedLoads.of(this.directory, this.timers.milliTime()).endpoints());
		this.metrics.gauge("entry.endpoints.busiest.ratio",
				() -> BalancedLoads.of(this.directory, this.timers.milliTime()).busiestRatio());
		if (this.coldServers != null) {
			addColdGauges(this.coldServers);
		}
		this.metrics.gauge("entry.prompts.blocked", this.context.crashingPrompts()::blockedCount);
	}

	private void addColdGauges(ColdServers servers) {
		this.metrics.gauge("entry.endpoints.cold", () -> servers.coldCount(this.timers.milliTime()));
		this.metrics.gauge("entry.cold.informed", () -> servers.isInformed(this.timers.milliTime()) ? 1 : 0);
	}

	private long pausedEndpoints() {
		long now = this.timers.milliTime();
		return this.directory.all().stream().filter((endpoint) -> endpoint.isPauseRequested(now)).count();
	}

	private void sampleLoopDelay() {
		long now = this.timers.milliTime();
		this.metrics.loopDelay(now - this.loopSampleDue);
		this.loopSampleDue = now + LOOP_SAMPLE_MILLIS;
		this.timers.schedule(Duration.ofMillis(LOOP_SAMPLE_MILLIS), this::sampleLoopDelay);
	}

	private void followPromptEvidence() {
		CrashingPrompts crashingPrompts = this.context.crashingPrompts();
		TableWatcher.PollTiming alerted = PollTimings.configuration(this.settings.bounds());
		crashingPrompts.setWatcher(startWatcher(StoreFormat.PROMPT_EVIDENCE_TABLE,
				() -> crashingPrompts.pollTiming(alerted), crashingPrompts.publishTo(this.store)));
	}

	private TableWatcher startWatcher(String table, Supplier<TableWatcher.PollTiming> pollTiming,
			TableWatcher.Listener listener) {
		TableWatcher watcher = new TableWatcher(this.store, this.timers, this.random, this.log, table, pollTiming,
				listener);
		this.watchers.add(watcher);
		watcher.start();
		return watcher;
	}

	private void onEra(long previous, long current) {
		if (previous != StoreEra.UNKNOWN) {
			this.restorationReport.begin(previous, current);
			this.requestRecorder.rewriteRecentObjects((objects) -> this.group.next()
				.execute(() -> this.restorationReport.recordRewrittenObjects(objects)));
		}
		this.watchers.forEach(TableWatcher::onNewEra);
	}

	private void onFailedTask(Throwable failure) {
		this.log.event(EntryEvent.TASK_FAILED).field("reason", FailureText.of(failure)).write();
	}

	private void onRejectedEra(String reason) {
		this.log.event(EntryEvent.STORE_ERA_REJECTED).field("reason", reason).write();
	}

	private long storeRevision() {
		return this.watchers.stream().mapToLong(TableWatcher::revision).max().orElse(-1);
	}

	private void useMembers(Map<String, MemberRecord> members) {
		if (this.coldServers != null) {
			this.coldServers.recordGateways(members.keySet(), this.timers.milliTime());
		}
		this.stageCoordinator.setMembers(members);
	}

	private void useConfiguration(ServingConfiguration configuration) {
		if (this.coldServers != null) {
			this.coldServers.useServices(configuration.services());
		}
		this.stageCoordinator.setConfiguration(configuration);
	}

	private CallerLimits limits() {
		return this.configurationTable.current().map(ServingConfiguration::limits).orElse(CallerLimits.DEFAULT);
	}

	private boolean isReady() {
		return !this.gracefulShutdown.isShuttingDown() && this.configurationTable.current().isPresent()
				&& this.directory.isLoaded();
	}

	private void accept(CallerExchange exchange) {
		RequestFlow flow = new RequestFlow(this.context, this.stageCoordinator, exchange, this.openRequests::remove);
		this.openRequests.add(flow);
		flow.start();
	}

	/**
	 * Shuts the gateway down gracefully: it closes connections after their next response,
	 * finishes open requests, accepts no connections at the end, and returns before the
	 * platform kills the process.
	 */
	public void stop() {
		CountDownLatch stopped = new CountDownLatch(1);
		long requestedMillis = this.timers.milliTime();
		this.group.next().execute(() -> beginStop(requestedMillis, stopped));
		try {
			stopped.await(this.settings.bounds().graceMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		String recordFault = this.requestRecorder.close();
		if (recordFault != null) {
			this.group.next().execute(() -> {
				this.log.event(EntryEvent.RECORDS_LOST).field("reason", recordFault).write();
				this.log.flush();
			});
		}
	}

	/**
	 * Rereads the settings file. Changed addresses and limits take effect at the next
	 * start; the file is validated so that errors are reported before it.
	 * @param environment the environment variables, one of which names the file
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
	 * Stops the gateway without a shutdown, to simulate a crash.
	 */
	void halt() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private void beginStop(long requestedMillis, CountDownLatch stopped) {
		this.memberTable.stop();
		if (this.shutdownSequence != null) {
			return;
		}
		ShutdownSequence sequence = new ShutdownSequence(this.timers, this.log, this.gracefulShutdown,
				this.openRequests, this.callerServer);
		this.shutdownSequence = sequence;
		sequence.begin(requestedMillis, stopped::countDown);
	}

}
