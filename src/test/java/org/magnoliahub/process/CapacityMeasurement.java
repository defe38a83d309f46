package org.magnoliahub.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.magnoliahub.configuration.CommitResult;
import org.magnoliahub.configuration.ConfigurationChange;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Objective;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageType;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.platformhttp.EtcdTableStore;
import org.magnoliahub.platformhttp.S3ObjectStore;

/**
 * Measures start-up, processor time and memory of the processes of the binary. Run with
 * the name of a section: {@code startup}, {@code processor}, {@code latency},
 * {@code connections}, {@code workspaces}, {@code endpoints}, {@code inflight} or
 * {@code policies}.
 */
public final class CapacityMeasurement implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private static final int SECONDS = 10;

	private static final int IDLE_SECONDS = 30;

	private static final int PIPELINES = 11;

	private final OkHttpClient client = new OkHttpClient();

	private final List<RunningProcess> started = new ArrayList<>();

	private final RunningProcess platform;

	private long version;

	private CapacityMeasurement() throws IOException {
		this.platform = opened(RunningProcess.start("capacity-platform", "stand-in-platform", "--listen-port", "0"));
	}

	/**
	 * Runs one section.
	 * @param arguments name of the section and number of repetitions
	 * @throws Exception if it fails
	 */
	public static void main(String[] arguments) throws Exception {
		int repetitions = (arguments.length > 1) ? Integer.parseInt(arguments[1]) : 3;
		// Threads of the HTTP client would keep a failed run alive.
		Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {
			failure.printStackTrace();
			System.exit(1);
		});
		for (int i = 1; i <= repetitions; i++) {
			System.out.println("run " + i + ", load average " + Files.readString(Path.of("/proc/loadavg")).split(" ")[0]
					+ ", " + arguments[0]);
			switch (arguments[0]) {
				case "startup" -> measureStartup();
				case "processor" -> measureProcessor();
				case "latency" -> measureLatency();
				case "connections" -> measureConnections();
				case "workspaces" -> measureWorkspaces();
				case "endpoints" -> measureEndpoints();
				case "inflight" -> measureInFlight();
				case "policies" -> measurePolicies(i);
				default -> throw new IllegalArgumentException("unknown section " + arguments[0]);
			}
		}
		System.exit(0);
	}

	private static void measureStartup() throws Exception {
		long start = System.nanoTime();
		Process help = new ProcessBuilder(Path.of("target", "magnoliahub").toAbsolutePath().toString(), "--help")
			.redirectOutput(ProcessBuilder.Redirect.DISCARD)
			.start();
		long peak = 0;
		while (help.isAlive()) {
			peak = Math.max(peak, peak(help.pid()));
			TimeUnit.MILLISECONDS.sleep(5);
		}
		print("--help: %d ms, peak resident %.1f MB", millisSince(start), peak / 1024.0);
		try (CapacityMeasurement system = new CapacityMeasurement()) {
			RunningProcess service = system.backEnd("stand-in-service");
			start = System.nanoTime();
			RunningProcess agent = system.agent(service);
			print("agent: %d ms to listening, %s", millisSince(start), memory(agent));
			system.declare(List.of(endpoint("service-0", "service", agent)), 1);
			start = System.nanoTime();
			RunningProcess gateway = system.gateway();
			long listening = millisSince(start);
			system.awaitConnected(gateway, 1);
			print("gateway: %d ms to listening, %d ms to the first agent connected, %s", listening, millisSince(start),
					memory(gateway));
		}
	}

	private static long peak(long pid) {
		try {
			return ProcessSample.status(pid, "VmHWM");
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private static void measureProcessor() throws Exception {
		try (CapacityMeasurement system = new CapacityMeasurement()) {
			RunningProcess service = system.backEnd("stand-in-service");
			RunningProcess engine = system.backEnd("stand-in-engine");
			RunningProcess serviceAgent = system.agent(service);
			RunningProcess engineAgent = system.agent(engine);
			system.declare(List.of(endpoint("service-0", "service", serviceAgent),
					endpoint("engine-0", "engine", engineAgent)), 1);
			RunningProcess gateway = system.gateway();
			system.awaitConnected(gateway, 2);
			// Warm-up, so that the code is compiled before the first figure.
			system.load(gateway, call(200, false), SECONDS);
			system.load(gateway, stream(10, 64), SECONDS);
			for (int rate : new int[] { 50, 100, 200 }) {
				system.measureLoad(gateway, serviceAgent, "calls", call(rate, false), rate, rate);
			}
			for (int rate : new int[] { 5, 10, 20 }) {
				system.measureLoad(gateway, engineAgent, "tokens", stream(rate, 128), rate * 128, rate);
			}
			print("gateway threads (ms in all): %s", ProcessSample.threads(gateway.pid()));
			print("agent threads (ms in all): %s", ProcessSample.threads(engineAgent.pid()));
		}
	}

	private void measureLoad(RunningProcess gateway, RunningProcess agent, String unit, String mix, int expected,
			int requests) throws Exception {
		ProcessSample gatewayBefore = ProcessSample.of(gateway.pid());
		ProcessSample agentBefore = ProcessSample.of(agent.pid());
		double transportBefore = bytes(gateway);
		String table = load(gateway, mix, SECONDS);
		ProcessSample gatewayAfter = ProcessSample.of(gateway.pid());
		ProcessSample agentAfter = ProcessSample.of(agent.pid());
		double calls = figure(table, "calls");
		double units = unit.equals("calls") ? calls : calls * expected / requests;
		print("%s %d/s: sent %.0f, complete %.0f, p50 %.2f ms, p99 %.2f ms, gateway %.0f us and agent %.0f us of "
				+ "processor time each, %.0f bytes each", unit, expected, units, figure(table, "complete"),
				figure(table, "p50 ms"), figure(table, "p99 ms"),
				(gatewayAfter.processorMillis() - gatewayBefore.processorMillis()) * 1000 / units,
				(agentAfter.processorMillis() - agentBefore.processorMillis()) * 1000 / units,
				(bytes(gateway) - transportBefore) / units);
	}

	private static void measureLatency() throws Exception {
		try (CapacityMeasurement system = new CapacityMeasurement()) {
			RunningProcess engine = system.backEnd("stand-in-engine");
			RunningProcess agent = system.agent(engine);
			system.declare(List.of(endpoint("engine-0", "engine", agent)), 1);
			RunningProcess gateway = system.gateway();
			system.awaitConnected(gateway, 1);
			String mix = """
					workspaces: [{name: w-0, share: 1}]
					classes:
					  - {pipeline: chain, requestClass: chain, rate: 20, deadlineMillis: 5000, minimumInput: 50,
					     maximumInput: 200, direct: [{path: /v1/embeddings, body: {input: ""}},
					     {path: /v1/retrieve, body: {query: ""}}, {path: /v1/rerank, body: {query: "",
					     documents: [a, b]}}]}
					  - {pipeline: answer, requestClass: answer, rate: 10, deadlineMillis: 5000, stream: true,
					     minimumInput: 50, maximumInput: 200, input: {max_tokens: 32},
					     answerContains: ["request {requestId}:", " t31"],
					     direct: [{path: /v1/completions, body: {prompt: "", max_tokens: 32, stream: true}}]}
					""";
			system.load(gateway, mix, SECONDS);
			System.out.println(
					system.load(gateway, mix, SECONDS, "--compare-direct", "http://" + HOST + ":" + engine.port()));
		}
	}

	private static void measureConnections() throws Exception {
		for (int pools : new int[] { 1, 5, 20 }) {
			try (CapacityMeasurement system = new CapacityMeasurement()) {
				RunningProcess agent = system.agent(system.backEnd("stand-in-service"));
				List<Endpoint> endpoints = new ArrayList<>();
				for (int i = 0; i < 16 * pools; i++) {
					endpoints.add(new Endpoint("endpoint-" + i, "pool-" + (i % pools), new AvailabilityZone("zone-a"),
							localName(i) + ":" + agent.port(), false));
				}
				endpoints.add(endpoint("service-0", "service", agent));
				system.declare(endpoints, 1);
				RunningProcess gateway = system.gateway();
				system.awaitConnected(gateway, endpoints.size());
				TimeUnit.SECONDS.sleep(5);
				double bytes = system.bytes(gateway);
				ProcessSample before = ProcessSample.of(gateway.pid());
				ProcessSample agentBefore = ProcessSample.of(agent.pid());
				TimeUnit.SECONDS.sleep(IDLE_SECONDS);
				ProcessSample after = ProcessSample.of(gateway.pid());
				ProcessSample agentAfter = ProcessSample.of(agent.pid());
				print("%d connections: gateway idle %.2f ms/s, agent idle %.2f ms/s, %.0f bytes/s; gateway %s; agent %s",
						endpoints.size(), (after.processorMillis() - before.processorMillis()) / IDLE_SECONDS,
						(agentAfter.processorMillis() - agentBefore.processorMillis()) / IDLE_SECONDS,
						(system.bytes(gateway) - bytes) / IDLE_SECONDS, memory(gateway), memory(agent));
			}
		}
	}

	/**
	 * Spells the local host in one of 512 ways, since one agent may not be declared for
	 * several endpoints under one address.
	 * @param index which spelling
	 * @return the name
	 */
	private static String localName(int index) {
		char[] name = "localhost".toCharArray();
		for (int bit = 0; bit < name.length; bit++) {
			name[bit] = ((index >> bit) % 2 == 1) ? Character.toUpperCase(name[bit]) : name[bit];
		}
		return new String(name);
	}

	private static void measureWorkspaces() throws Exception {
		for (int workspaces : new int[] { 100, 2_200, 22_000 }) {
			try (CapacityMeasurement system = new CapacityMeasurement()) {
				RunningProcess agent = system.agent(system.backEnd("stand-in-service"));
				system.declare(List.of(endpoint("service-0", "service", agent)), workspaces);
				long start = System.nanoTime();
				RunningProcess gateway = system.gateway();
				system.awaitConnected(gateway, 1);
				long ready = millisSince(start);
				TimeUnit.SECONDS.sleep(5);
				print("%d workspaces: ready in %d ms, %.0f bytes to and from one agent so far, gateway %s; agent %s",
						workspaces, ready, system.bytes(gateway), memory(gateway), memory(agent));
			}
		}
	}

	private static void measureEndpoints() throws Exception {
		for (int count : new int[] { 100, 600, 2_600 }) {
			try (CapacityMeasurement system = new CapacityMeasurement()) {
				RunningProcess agent = system.agent(system.backEnd("stand-in-service"));
				List<Endpoint> endpoints = new ArrayList<>();
				for (int i = 0; i < count; i++) {
					// Nothing listens on these ports; only the declaration is measured.
					endpoints.add(new Endpoint("endpoint-" + i, "pool", new AvailabilityZone("zone-a"),
							localName(i) + ":" + (9 + i / 512), false));
				}
				endpoints.add(endpoint("service-0", "service", agent));
				system.declare(endpoints, 1);
				RunningProcess gateway = system.gateway();
				system.awaitConnected(gateway, 1);
				print("%d endpoints declared in one pool: gateway %s", count, memory(gateway));
			}
		}
	}

	private static void measureInFlight() throws Exception {
		for (int inFlight : new int[] { 50, 200, 800 }) {
			try (CapacityMeasurement system = new CapacityMeasurement()) {
				RunningProcess service = system.opened(RunningProcess.start("capacity-slow", "stand-in-service",
						"--call-ms", "20000", "--slots", "512", "--waiting", "512"));
				RunningProcess agent = system.agent(service);
				system.declare(List.of(endpoint("service-0", "service", agent)), 1);
				// This policy admits calls that are slower than any seen before.
				RunningProcess gateway = system.gateway("--policy", "least-outstanding");
				system.awaitConnected(gateway, 1);
				String empty = memory(gateway) + "; agent " + memory(agent);
				Process load = system.startLoad(gateway, call(inFlight, false), 1, "--maximum-in-flight", "1000");
				TimeUnit.SECONDS.sleep(12);
				print("%d requests in flight (%.0f running at the agent): before: gateway %s; with them: gateway %s; "
						+ "agent %s", inFlight, system.running(service), empty, memory(gateway), memory(agent));
				load.destroy();
				load.waitFor();
			}
		}
	}

	/**
	 * Runs the same load under each policy: engines whose speeds differ fivefold, at
	 * about 80% of their capacity, short lookups among longer drafts.
	 */
	private static void measurePolicies(int seed) throws Exception {
		for (String policy : List.of("random", "round-robin", "least-outstanding", "deadline-aware")) {
			try (CapacityMeasurement system = new CapacityMeasurement()) {
				List<Endpoint> endpoints = new ArrayList<>();
				for (int tokenMillis : new int[] { 2, 3, 4, 6, 8, 10 }) {
					endpoints.add(system.engine(tokenMillis));
				}
				system.declare(endpoints, 1);
				system.commit(List.of(
						new ItemChange.PutRequestClass(
								new RequestClass("lookup", "answer", Duration.ofSeconds(30), Objective.ATTAINMENT, 0)),
						new ItemChange.PutRequestClass(
								new RequestClass("draft", "answer", Duration.ofSeconds(30), Objective.ATTAINMENT, 5))));
				RunningProcess gateway = system.gateway("--policy", policy);
				system.awaitConnected(gateway, endpoints.size());
				String mix = "workspaces: [{name: w-0, share: 1}]\nclasses:\n" + policyClass("lookup", 80, 300, 4)
						+ policyClass("draft", 80, 1_000, 40);
				system.load(gateway, mix, SECONDS);
				String table = system.load(gateway, mix, 2 * SECONDS, "--seed", String.valueOf(seed), "--csv",
						Path.of("target", "policy-" + policy + "-" + seed + ".csv").toString());
				print("%s, seed %d%n%s", policy, seed, table);
			}
		}
	}

	private static String policyClass(String name, int rate, int deadlineMillis, int tokens) {
		return "  - {pipeline: answer, requestClass: " + name + ", rate: " + rate + ", deadlineMillis: "
				+ deadlineMillis + ", minimumInput: 50, maximumInput: 200, input: {max_tokens: " + tokens + "}}\n";
	}

	private Endpoint engine(int tokenMillis) throws IOException {
		RunningProcess engine = opened(RunningProcess.start("policy-engine-" + tokenMillis, "stand-in-engine",
				"--slots", "4", "--first-token-ms", "20", "--token-ms", String.valueOf(tokenMillis)));
		RunningProcess agent = opened(
				RunningProcess.start("policy-agent-" + tokenMillis, "agent", "--endpoint", "engine-" + tokenMillis,
						"--availability-zone", "zone-a", "--back-end-url", "http://" + HOST + ":" + engine.port(),
						"--listen-port", "0", "--admin-port", "0", "--maximum-running", "4"));
		return endpoint("engine-" + tokenMillis, "engine", agent);
	}

	private static String call(int rate, boolean key) {
		return "workspaces: [{name: w-0, share: 1}]\nclasses:\n  - {pipeline: call, requestClass: call, rate: " + rate
				+ ", deadlineMillis: 30000, minimumInput: 50, maximumInput: 200, idempotencyKey: " + key
				+ ", answerContains: [\"{requestId}\"]}\n";
	}

	private static String stream(int rate, int tokens) {
		return "workspaces: [{name: w-0, share: 1}]\nclasses:\n  - {pipeline: answer, requestClass: answer, rate: "
				+ rate + ", deadlineMillis: 5000, stream: true, minimumInput: 50, maximumInput: 200, input: "
				+ "{max_tokens: " + tokens + "}, answerContains: [\"request {requestId}:\", \" t" + (tokens - 1)
				+ "\"]}\n";
	}

	private RunningProcess backEnd(String command) throws IOException {
		List<String> arguments = new ArrayList<>(List.of(command, "--slots", "512", "--waiting", "512"));
		arguments.addAll(command.equals("stand-in-engine") ? List.of("--first-token-ms", "5", "--token-ms", "5")
				: List.of("--call-ms", "5"));
		return opened(RunningProcess.start("capacity-" + command, arguments.toArray(String[]::new)));
	}

	private RunningProcess agent(RunningProcess backEnd) throws IOException {
		return opened(RunningProcess.start("capacity-agent-" + backEnd.port(), "agent", "--endpoint", "endpoint",
				"--availability-zone", "zone-a", "--back-end-url", "http://" + HOST + ":" + backEnd.port(),
				"--listen-port", "0", "--admin-port", "0", "--maximum-running", "1000"));
	}

	private RunningProcess gateway(String... further) throws IOException {
		String base = "http://" + HOST + ":" + this.platform.port();
		List<String> arguments = new ArrayList<>(List.of("gateway", "--name", "gateway-0", "--availability-zone",
				"zone-a", "--listen-port", "0", "--admin-port", "0", "--table-store-url", base, "--object-store-url",
				base + "/s3", "--vm-inventory-url", base + "/inventory"));
		arguments.addAll(List.of(further));
		return opened(RunningProcess.start("capacity-gateway", arguments.toArray(String[]::new)));
	}

	private static Endpoint endpoint(String name, String pool, RunningProcess agent) {
		return new Endpoint(name, pool, new AvailabilityZone("zone-a"), HOST + ":" + agent.port(), false);
	}

	private void declare(List<Endpoint> endpoints, int workspaces) throws IOException {
		List<ItemChange> items = new ArrayList<>();
		Set<String> pools = endpoints.stream().map(Endpoint::pool).collect(Collectors.toSet());
		if (pools.contains("service")) {
			putPipeline(items, "call", stage("call", StageType.SERVICE, "service", "/v1/calls"));
		}
		if (pools.contains("engine")) {
			putPipeline(items, "answer", stage("answer", StageType.GENERATE, "engine", "/v1/completions"));
			putPipeline(items, "chain", stage("encode", StageType.ENCODE, "engine", "/v1/embeddings"),
					stage("retrieve", StageType.RETRIEVE, "engine", "/v1/retrieve"),
					stage("rerank", StageType.RERANK, "engine", "/v1/rerank"));
		}
		for (int i = items.size() / 2; i < PIPELINES; i++) {
			putPipeline(items, "further-" + i, stage("call", StageType.SERVICE, endpoints.get(0).pool(), "/v1/calls"));
		}
		for (int i = 0; i < workspaces; i++) {
			items.add(new ItemChange.PutWorkspace(new Workspace("w-" + i, 1, 10_000)));
		}
		// A pool needs an endpoint before a pipeline may name it.
		List<ItemChange> declared = new ArrayList<>();
		endpoints.forEach((endpoint) -> declared.add(new ItemChange.PutEndpoint(endpoint)));
		items.addAll(0, declared);
		for (int from = 0; from < items.size(); from += 1_000) {
			commit(items.subList(from, Math.min(items.size(), from + 1_000)));
		}
	}

	private static void putPipeline(List<ItemChange> items, String name, StageDefinition... stages) {
		items.add(new ItemChange.PutPipeline(new PipelineDefinition(name, List.of(stages))));
		items.add(new ItemChange.PutRequestClass(
				new RequestClass(name, name, Duration.ofSeconds(30), Objective.ATTAINMENT, 0)));
	}

	private static StageDefinition stage(String name, StageType type, String pool, String path) {
		return new StageDefinition(name, type, pool, true, path, 1);
	}

	private void commit(List<ItemChange> items) throws IOException {
		String base = "http://" + HOST + ":" + this.platform.port();
		Duration timeout = Duration.ofSeconds(10);
		ConfigurationRepository repository = ConfigurationRepository.of(
				EtcdTableStore.of(this.client, base, timeout, Schedulers.trampoline()),
				S3ObjectStore.of(this.client, base + "/s3", "magnoliahub", timeout, Schedulers.trampoline()));
		CommitResult result = repository
			.commit(ConfigurationChange.of("change-" + this.version, this.version, "capacity", Instant.now(), "",
					List.copyOf(items)))
			.blockingGet();
		if (!(result instanceof CommitResult.Accepted)) {
			throw new IOException("the configuration was not committed: " + result);
		}
		this.version++;
	}

	private String load(RunningProcess gateway, String mix, int seconds, String... further) throws Exception {
		Process load = startLoad(gateway, mix, seconds, further);
		String table = new String(load.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		if (load.waitFor() != 0) {
			throw new IOException("load ended with " + load.exitValue() + ":\n" + table);
		}
		return table;
	}

	private Process startLoad(RunningProcess gateway, String mix, int seconds, String... further) throws IOException {
		Path file = Files.writeString(Path.of("target", "capacity-mix.yaml"), mix);
		List<String> command = new ArrayList<>(List.of(Path.of("target", "magnoliahub").toAbsolutePath().toString(),
				"load", "--gateway-url", "http://" + HOST + ":" + gateway.port(), "--mix", file.toString(),
				"--duration-seconds", String.valueOf(seconds)));
		command.addAll(List.of(further));
		return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
	}

	private static double figure(String table, String name) {
		return table.lines()
			.filter((line) -> line.startsWith(name + " "))
			.mapToDouble((line) -> Double.parseDouble(line.substring(name.length()).trim().split(" +")[0]))
			.findFirst()
			.orElseThrow();
	}

	private double bytes(RunningProcess gateway) throws IOException {
		return metric(gateway, "magnoliahub_transport_bytes_received")
				+ metric(gateway, "magnoliahub_transport_bytes_sent");
	}

	private double running(RunningProcess service) throws IOException {
		String load = get(service.port(), "/load");
		return Double.parseDouble(load.replaceAll(".*\"running\":(\\d+).*", "$1"));
	}

	private double metric(RunningProcess gateway, String prefix) throws IOException {
		return get(gateway.adminPort(), "/metrics").lines()
			.filter((line) -> line.startsWith(prefix))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
			.sum();
	}

	private void awaitConnected(RunningProcess gateway, int count) throws Exception {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
		while (metric(gateway, "magnoliahub_gateway_agents_connected") != count) {
			if (System.nanoTime() > deadline) {
				throw new IOException(count + " agents were not connected in time");
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	private String get(int port, String path) throws IOException {
		Request request = new Request.Builder().url("http://" + HOST + ":" + port + path).build();
		try (Response response = this.client.newCall(request).execute()) {
			return response.body().string();
		}
	}

	private static String memory(RunningProcess process) throws IOException {
		long resident = ProcessSample.of(process.pid()).residentKilobytes();
		return String.format(Locale.ROOT, "resident %.1f MB, heap in use %.2f MB", resident / 1024.0,
				ProcessSample.usedHeap(process.pid()) / 1024.0);
	}

	private static long millisSince(long startNanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

	private static void print(String format, Object... values) {
		System.out.println(String.format(Locale.ROOT, format, values));
	}

	private RunningProcess opened(RunningProcess process) {
		this.started.add(0, process);
		return process;
	}

	@Override
	public void close() {
		this.started.forEach(RunningProcess::close);
	}

}
