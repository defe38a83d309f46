package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.agent.AgentLimits;
import org.magnoliahub.configuration.ConfigurationChange;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.enginehttp.HttpEndpointClient;
import org.magnoliahub.gateway.GatewayLimits;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.platform.HostPort;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.report.TextReport;
import org.magnoliahub.routing.RoutingPolicy;
import org.magnoliahub.server.AgentProcess;
import org.magnoliahub.server.AgentSettings;
import org.magnoliahub.server.EventLoop;
import org.magnoliahub.server.GatewayProcess;
import org.magnoliahub.server.GatewaySettings;
import org.magnoliahub.soak.Demonstration;
import org.magnoliahub.standin.EngineSpeed;
import org.magnoliahub.standin.EngineStandIn;
import org.magnoliahub.standin.ServiceStandIn;
import org.magnoliahub.store.InMemoryObjectStore;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.store.InMemoryVmInventory;
import org.magnoliahub.store.PlatformServices;

/**
 * Runs a whole system with stand-ins, sends requests through it and prints their
 * outcomes: entry gateways before an emulated platform, or the product's own interface.
 */
final class DemoCommand implements Command {

	private static final String HOST = "127.0.0.1";

	private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");

	private static final long READY_TIMEOUT_SECONDS = 15;

	private static final MediaType JSON = MediaType.get("application/json");

	/** Time after which the records of the requests are in the store. */
	private static final long RECORDS_MILLIS = 6_000;

	private static final int MAXIMUM_OBJECTS = 1_000;

	private final Clock clock = Clock.systemUTC();

	private final List<AutoCloseable> started = new ArrayList<>();

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run the system before an emulated platform and send requests");
		parser.description("Runs entry gateways as processes before an emulated platform, sends requests, prints "
				+ "what callers got and the report of the day. With --edge own: a gateway with the product's own "
				+ "interface, agents and engines in one process.");
		Settings.declare(parser, "--edge", "platform or own; default: platform");
		Settings.declare(parser, "--gateways", "number of entry gateways, 1 to 9; default: 2");
		Settings.declare(parser, "--listen-port", "port for callers, 0 for any free one; default: 0");
		Settings.declare(parser, "--keep-running-seconds", "how long to go on after the requests; default: 0");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		int port = (int) settings.number("--listen-port", 0, 65_535, 0);
		long seconds = settings.number("--keep-running-seconds", 0, 86_400, 0);
		int gateways = (int) settings.number("--gateways", 1, 9, 2);
		String edge = settings.optionalText("--edge").orElse("platform");
		if (!edge.equals("platform") && !edge.equals("own")) {
			settings.addFault("--edge must be platform or own, but was '" + edge + "'");
		}
		if (edge.equals("platform") && port != 0) {
			settings.addFault("--listen-port is for --edge own; entry gateways print their addresses");
		}
		settings.check();
		return edge.equals("own") ? runOwnInterface(port, seconds, output, errors)
				: runEntryGateways(gateways, seconds, output);
	}

	private ExitCode runEntryGateways(int gateways, long seconds, PrintStream output) throws CommandException {
		try (Demonstration demonstration = Demonstration.start(gateways)) {
			boolean expected = demonstration.sendRequests(output::println);
			TimeUnit.MILLISECONDS.sleep(RECORDS_MILLIS);
			output.println();
			output.print(TextReport.render(EntryReport.read(HostPort.parse(demonstration.storeAddress()),
					this.clock.instant(), MAXIMUM_OBJECTS)));
			output.println("\ncallers: curl -s http://ADDRESS/look/1 -H 'Host: h' -H 'Request-Id: r1' "
					+ "-H 'Authorization: Bearer " + EmulatedSettings.KEY + "'");
			demonstration.callerAddresses().forEach((address) -> output.println("gateway: " + address));
			output.println("report: magnoliahub report --entry-store " + demonstration.storeAddress());
			TimeUnit.SECONDS.sleep(seconds);
			return expected ? ExitCode.SUCCESS : ExitCode.FAILURE;
		}
		catch (IOException | PlatformFormatException ex) {
			throw new CommandException(ExitCode.FAILURE, "the demonstration failed: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
	}

	private ExitCode runOwnInterface(int port, long seconds, PrintStream output, PrintStream errors)
			throws CommandException {
		try {
			GatewayProcess gateway = start(port);
			boolean whole = sendRequests(gateway, output);
			output.println("callers: http://" + HOST + ":" + gateway.port() + "  metrics: http://" + HOST + ":"
					+ gateway.adminPort() + "/metrics");
			TimeUnit.SECONDS.sleep(seconds);
			return whole ? ExitCode.SUCCESS : ExitCode.FAILURE;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILURE, "the demonstration failed: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
		finally {
			closeAll(errors);
		}
	}

	private GatewayProcess start(int port) throws IOException, InterruptedException, CommandException {
		List<Endpoint> endpoints = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			EngineStandIn engine = opened(EngineStandIn.start(HOST, 0, new EngineSpeed(10, 2L + 4L * i, 8, 64), i));
			endpoints.add(startAgent("engine-" + i, DemoConfiguration.ENGINES, engine.port()));
		}
		for (int i = 0; i < 2; i++) {
			ServiceStandIn service = opened(ServiceStandIn.start(HOST, 0, 20, 8, 64, i));
			endpoints.add(startAgent("filing-" + i, DemoConfiguration.FILING, service.port()));
		}
		EventLoop loop = EventLoop.start("gateway-event-loop");
		PlatformServices platform = new PlatformServices(InMemoryTableStore.of(loop.timers(), Duration.ofMillis(2)),
				InMemoryObjectStore.of(loop.timers(), Duration.ofMillis(2)),
				InMemoryVmInventory.of(loop.timers(), Duration.ofMillis(2)));
		declare(loop, platform, endpoints);
		GatewaySettings settings = new GatewaySettings("gateway-demo", ZONE, HOST, port, 0, 200, 32,
				RoutingPolicy.DEADLINE_AWARE, GatewayLimits.defaults());
		GatewayProcess gateway = opened(GatewayProcess.start(settings, loop, platform, (record) -> {
		}));
		awaitReady(gateway);
		return gateway;
	}

	private Endpoint startAgent(String name, String pool, int backEndPort) throws IOException {
		AgentSettings settings = new AgentSettings(name, ZONE, "http://" + HOST + ":" + backEndPort, HOST, 0, 0, "demo",
				AgentLimits.of(8));
		AgentProcess agent = opened(AgentProcess.start(settings, EventLoop.start("agent-" + name),
				(own, loop) -> HttpEndpointClient.create(own.backEndUrl(), own.model(), loop.scheduler())));
		return new Endpoint(name, pool, ZONE, HOST + ":" + agent.port(), false);
	}

	private static void declare(EventLoop loop, PlatformServices platform, List<Endpoint> endpoints) {
		ConfigurationChange change = ConfigurationChange.of("demo", 0, "demo", Instant.now(), "demonstration",
				DemoConfiguration.items(endpoints));
		ConfigurationRepository repository = ConfigurationRepository.of(platform.tableStore(), platform.objectStore());
		loop.call(() -> repository.commit(change)).blockingGet();
	}

	private static void awaitReady(GatewayProcess gateway) throws InterruptedException, CommandException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
		while (!gateway.isReady()) {
			if (System.nanoTime() > deadline) {
				throw new CommandException(ExitCode.FAILURE, "the gateway was not ready in time");
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private static boolean sendRequests(GatewayProcess gateway, PrintStream output) throws IOException {
		OkHttpClient client = new OkHttpClient();
		String input = "{\"class\":\"draft\",\"input\":{\"prompt\":\"Summarise the ruling on red doors.\","
				+ "\"max_tokens\":12}}";
		String order = "{\"class\":\"stamp\",\"input\":{\"submission\":42}}";
		int complete = send(client, gateway, "report", input, null, output);
		complete += send(client, gateway, "report", input, null, output);
		complete += send(client, gateway, "filing", order, "submission-42", output);
		complete += send(client, gateway, "filing", order, "submission-42", output);
		int refused = send(client, gateway, "filing", order, null, output);
		client.dispatcher().executorService().shutdown();
		client.connectionPool().evictAll();
		return complete == 4 && refused == 0;
	}

	private static int send(OkHttpClient client, GatewayProcess gateway, String pipeline, String body,
			@Nullable String key, PrintStream output) throws IOException {
		Request.Builder request = new Request.Builder()
			.url("http://" + HOST + ":" + gateway.port() + "/v1/pipelines/" + pipeline + "/requests")
			.header("Workspace", "hakodate")
			.post(RequestBody.create(body, JSON));
		if (key != null) {
			request.header("Idempotency-Key", key);
		}
		try (Response response = client.newCall(request.build()).execute()) {
			output.println(pipeline + ((key != null) ? " key=" + key : "") + " -> " + response.code() + " "
					+ response.body().string());
			return response.isSuccessful() ? 1 : 0;
		}
	}

	private <T extends AutoCloseable> T opened(T resource) {
		this.started.add(0, resource);
		return resource;
	}

	private void closeAll(PrintStream errors) {
		for (AutoCloseable resource : this.started) {
			try {
				resource.close();
			}
			catch (Exception ex) {
				errors.println("could not close " + resource + ": " + ex.getMessage());
			}
		}
	}

}
