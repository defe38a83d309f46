package org.magnoliahub.process;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
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

import static org.awaitility.Awaitility.await;

/**
 * The whole system as separate processes: platform, back ends, agents and gateways.
 */
final class ProcessSystem implements AutoCloseable {

	static final String FILING = "filing";

	static final String OPERATOR_TOKEN = "token-of-the-process-tests";

	private static final String OPERATOR_TOKEN_FILE = "src/test/resources/operator-token.txt";

	private static final String HOST = "127.0.0.1";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final MediaType JSON = MediaType.get("application/json");

	private final OkHttpClient client = new OkHttpClient.Builder().readTimeout(Duration.ofSeconds(20)).build();

	private final RunningProcess platform;

	private final Map<String, RunningProcess> backEnds = new LinkedHashMap<>();

	private final Map<String, RunningProcess> agents = new LinkedHashMap<>();

	private final Map<String, List<String>> commands = new LinkedHashMap<>();

	private final Map<String, Relay> relays = new LinkedHashMap<>();

	private final List<RunningProcess> gateways = new ArrayList<>();

	private ProcessSystem() throws IOException {
		this.platform = RunningProcess.start("platform", "stand-in-platform", "--listen-port", "0");
	}

	/**
	 * Starts a system whose service calls take a given time.
	 * @param gateways number of gateways
	 * @param serviceMillis time of one service call, in milliseconds
	 * @return the system, ready to serve
	 * @throws IOException if a process does not start
	 */
	static ProcessSystem start(int gateways, long serviceMillis) throws IOException {
		ProcessSystem system = new ProcessSystem();
		system.startEndpoint("encoder-0", "stand-in-engine", "--first-token-ms", "5");
		system.startEndpoint("retriever-0", "stand-in-engine", "--first-token-ms", "5");
		system.startEndpoint("model-0", "stand-in-engine", "--first-token-ms", "20", "--token-ms", "5");
		system.startEndpoint("filing-0", "stand-in-service", "--call-ms", String.valueOf(serviceMillis));
		system.startEndpoint("filing-1", "stand-in-service", "--call-ms", String.valueOf(serviceMillis));
		system.declare();
		for (int i = 0; i < gateways; i++) {
			system.startGateway(i);
		}
		return system;
	}

	/**
	 * Starts a system with two endpoints for each stage and a relay in front of each
	 * agent.
	 * @param gateways number of gateways
	 * @param serviceMillis time of one service call, in milliseconds
	 * @return the system, ready to serve
	 * @throws IOException if a process does not start
	 */
	static ProcessSystem startRedundant(int gateways, long serviceMillis) throws IOException {
		ProcessSystem system = new ProcessSystem();
		for (int i = 0; i < 2; i++) {
			system.startEndpoint("encoder-" + i, "stand-in-engine", "--first-token-ms", "5");
			system.startEndpoint("retriever-" + i, "stand-in-engine", "--first-token-ms", "5");
			system.startEndpoint("model-" + i, "stand-in-engine", "--first-token-ms", "20", "--token-ms", "5",
					"--slots", "16");
			system.startEndpoint("filing-" + i, "stand-in-service", "--call-ms", String.valueOf(serviceMillis),
					"--slots", "16");
		}
		for (Map.Entry<String, RunningProcess> agent : system.agents.entrySet()) {
			system.relays.put(agent.getKey(), Relay.start(agent.getValue().port()));
		}
		system.declare();
		for (int i = 0; i < gateways; i++) {
			system.startGateway(i);
		}
		return system;
	}

	private void startEndpoint(String name, String... command) throws IOException {
		this.commands.put(name, List.of(command));
		this.backEnds.put(name, RunningProcess.start(name, command));
		startAgent(name, 0);
	}

	/**
	 * Kills the back end and the agent of an endpoint and starts both again.
	 * @param name name of the endpoint
	 * @throws IOException if they do not start
	 * @throws InterruptedException if the wait is interrupted
	 */
	void restartEndpoint(String name) throws IOException, InterruptedException {
		backEnd(name).kill();
		agent(name).kill();
		List<String> command = new ArrayList<>(java.util.Objects.requireNonNull(this.commands.get(name)));
		this.backEnds.put(name, RunningProcess.start(name, command.toArray(String[]::new)));
		startAgent(name, agent(name).port());
		awaitConnections();
	}

	/**
	 * Starts another process in the place of a gateway that has ended.
	 * @param index index of the gateway
	 * @throws IOException if it does not start
	 */
	void restartGateway(int index) throws IOException {
		this.gateways.remove(index);
		startGateway(index);
	}

	/**
	 * Waits until all gateways are connected to all agents.
	 */
	void awaitConnections() {
		this.gateways.forEach((gateway) -> await().atMost(Duration.ofSeconds(20))
			.pollInterval(Duration.ofMillis(50))
			.until(() -> connectedAgents(gateway) == this.agents.size()));
	}

	/**
	 * Starts the agent of an endpoint.
	 * @param name name of the endpoint
	 * @param port local port, 0 for any free one
	 * @throws IOException if it does not start
	 */
	void startAgent(String name, int port) throws IOException {
		this.agents.put(name,
				RunningProcess.start("agent-" + name, "agent", "--endpoint", name, "--availability-zone", "zone-a",
						"--back-end-url", "http://" + HOST + ":" + backEnd(name).port(), "--listen-port",
						String.valueOf(port), "--admin-port", "0"));
	}

	/**
	 * Starts a gateway and waits until it is connected to all agents.
	 * @param index index of the gateway, the number of gateways so far
	 * @throws IOException if it does not start
	 */
	void startGateway(int index) throws IOException {
		String base = "http://" + HOST + ":" + this.platform.port();
		RunningProcess gateway = RunningProcess.start("gateway-" + index, "gateway", "--name", "gateway-" + index,
				"--availability-zone", "zone-a", "--listen-port", "0", "--admin-port", "0", "--table-store-url", base,
				"--object-store-url", base + "/s3", "--vm-inventory-url", base + "/inventory", "--operator-token-file",
				OPERATOR_TOKEN_FILE);
		this.gateways.add(index, gateway);
		awaitConnections();
	}

	private long connectedAgents(RunningProcess gateway) throws IOException {
		return metric(gateway, "magnoliahub_gateway_agents_connected");
	}

	/**
	 * Reads a metric.
	 * @param process the process
	 * @param name name of the metric
	 * @return its value, 0 if it is absent
	 * @throws IOException if the process does not answer
	 */
	long metric(RunningProcess process, String name) throws IOException {
		return get(process.adminPort(), "/metrics").lines()
			.filter((line) -> line.startsWith(name))
			.mapToLong((line) -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' '))))
			.sum();
	}

	private void declare() {
		StageDefinition encode = stage("encode", StageType.ENCODE, "encoders", true, "/v1/embeddings");
		StageDefinition retrieve = stage("retrieve", StageType.RETRIEVE, "retrievers", true, "/v1/retrieve");
		StageDefinition generate = stage("generate", StageType.GENERATE, "models", true, "/v1/completions");
		StageDefinition file = stage("file", StageType.SERVICE, FILING, false, "/v1/filings");
		List<ItemChange> items = new ArrayList<>();
		items.add(new ItemChange.PutPipeline(new PipelineDefinition("report", List.of(encode, retrieve, generate))));
		items.add(new ItemChange.PutPipeline(new PipelineDefinition(FILING, List.of(file))));
		items.add(new ItemChange.PutRequestClass(
				new RequestClass("draft", "report", Duration.ofSeconds(5), Objective.ATTAINMENT, 5)));
		items.add(new ItemChange.PutRequestClass(
				new RequestClass("stamp", FILING, Duration.ofSeconds(5), Objective.ATTAINMENT, 0)));
		items.add(new ItemChange.PutWorkspace(new Workspace("hakodate", 1, 100)));
		this.agents.forEach((name, agent) -> items.add(new ItemChange.PutEndpoint(
				new Endpoint(name, poolOf(name), new AvailabilityZone("zone-a"), HOST + ":" + portFor(name), false))));
		commit(0, items);
	}

	private int portFor(String endpoint) {
		Relay relay = this.relays.get(endpoint);
		return (relay != null) ? relay.port() : agent(endpoint).port();
	}

	private static StageDefinition stage(String name, StageType type, String pool, boolean idempotent, String path) {
		return new StageDefinition(name, type, pool, idempotent, path, 1);
	}

	private static String poolOf(String endpoint) {
		String type = endpoint.substring(0, endpoint.indexOf('-'));
		return type.equals(FILING) ? FILING : type + "s";
	}

	CommitResult commit(long baseVersion, List<ItemChange> items) {
		String base = "http://" + HOST + ":" + this.platform.port();
		Duration timeout = Duration.ofSeconds(2);
		ConfigurationRepository repository = ConfigurationRepository.of(
				EtcdTableStore.of(this.client, base, timeout, Schedulers.trampoline()),
				S3ObjectStore.of(this.client, base + "/s3", "magnoliahub", timeout, Schedulers.trampoline()));
		return repository
			.commit(ConfigurationChange.of("change-" + baseVersion, baseVersion, "test", Instant.now(), "", items))
			.blockingGet();
	}

	RunningProcess platform() {
		return this.platform;
	}

	RunningProcess gateway(int index) {
		return this.gateways.get(index);
	}

	Relay relay(String endpoint) {
		return java.util.Objects.requireNonNull(this.relays.get(endpoint));
	}

	RunningProcess agent(String endpoint) {
		return java.util.Objects.requireNonNull(this.agents.get(endpoint));
	}

	RunningProcess backEnd(String endpoint) {
		return java.util.Objects.requireNonNull(this.backEnds.get(endpoint));
	}

	/**
	 * Submits a request.
	 * @param gateway index of the gateway
	 * @param pipeline name of the pipeline
	 * @param key idempotency key, empty text for none
	 * @param body JSON text
	 * @param accept form of the answer
	 * @return the answer's body
	 * @throws IOException if the connection fails
	 */
	String submit(int gateway, String pipeline, String key, String body, String accept) throws IOException {
		return submit(gateway, pipeline, key, body, accept, "5000");
	}

	String submit(int gateway, String pipeline, String key, String body, String accept, String timeoutMillis)
			throws IOException {
		Request.Builder request = new Request.Builder()
			.url("http://" + HOST + ":" + gateway(gateway).port() + "/v1/pipelines/" + pipeline + "/requests")
			.header("Workspace", "hakodate")
			.header("Accept", accept)
			.header("Request-Timeout-Ms", timeoutMillis)
			.post(RequestBody.create(body, JSON));
		if (!key.isEmpty()) {
			request.header("Idempotency-Key", key);
		}
		try (Response response = this.client.newCall(request.build()).execute()) {
			return response.body().string();
		}
	}

	JsonNode order(int gateway, String key) throws IOException {
		return MAPPER.readTree(submit(gateway, FILING, key,
				"{\"class\":\"stamp\",\"input\":{\"submission\":\"" + key + "\"}}", "application/json"));
	}

	String get(int port, String path) throws IOException {
		Request request = new Request.Builder().url("http://" + HOST + ":" + port + path).build();
		try (Response response = this.client.newCall(request).execute()) {
			return response.body().string();
		}
	}

	void post(int port, String path, String body) throws IOException {
		Request request = new Request.Builder().url("http://" + HOST + ":" + port + path)
			.post(RequestBody.create(body, JSON))
			.build();
		this.client.newCall(request).execute().close();
	}

	/**
	 * Lists the agents as live VMs in the platform's inventory.
	 * @throws IOException if the platform does not answer
	 */
	void listAgentsInInventory() throws IOException {
		List<Map<String, Object>> groups = new ArrayList<>();
		this.agents.forEach((name, agent) -> groups.add(Map.of("targets", List.of(HOST + ":" + agent.port()), "labels",
				Map.of("vm", name, "availability_zone", "zone-a", "state", "live"))));
		Request request = new Request.Builder().url("http://" + HOST + ":" + this.platform.port() + "/inventory")
			.put(RequestBody.create(MAPPER.writeValueAsString(groups), JSON))
			.build();
		this.client.newCall(request).execute().close();
	}

	/**
	 * Sends a statement to the admin port of a gateway.
	 * @param gateway index of the gateway
	 * @param token the operator token
	 * @param statement the statement
	 * @return status and text of the answer
	 * @throws IOException if the connection fails
	 */
	String query(int gateway, String token, String statement) throws IOException {
		Request request = new Request.Builder().url("http://" + HOST + ":" + gateway(gateway).adminPort() + "/query")
			.header("Authorization", "Bearer " + token)
			.post(RequestBody.create(statement, MediaType.get("text/plain")))
			.build();
		try (Response response = this.client.newCall(request).execute()) {
			return response.code() + " " + response.body().string();
		}
	}

	/**
	 * Counts the runs of orders at the far end.
	 * @return number of runs by idempotency key
	 * @throws IOException if a back end does not answer
	 */
	Map<String, Integer> orderRuns() throws IOException {
		Map<String, Integer> runs = new LinkedHashMap<>();
		for (Map.Entry<String, RunningProcess> backEnd : this.backEnds.entrySet()) {
			if (!backEnd.getKey().startsWith(FILING)) {
				continue;
			}
			for (JsonNode run : MAPPER.readTree(get(backEnd.getValue().port(), "/runs"))) {
				runs.merge(run.path("idempotency_key").asText(), 1, Integer::sum);
			}
		}
		return runs;
	}

	@Override
	public void close() {
		this.relays.values().forEach(Relay::close);
		this.gateways.forEach(RunningProcess::close);
		this.agents.values().forEach(RunningProcess::close);
		this.backEnds.values().forEach(RunningProcess::close);
		this.platform.close();
	}

}
