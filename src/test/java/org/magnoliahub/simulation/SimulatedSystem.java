package org.magnoliahub.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.magnoliahub.agent.AgentLimits;
import org.magnoliahub.gateway.GatewayLimits;
import org.magnoliahub.gateway.Submission;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Objective;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageType;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.routing.RoutingPolicy;
import org.magnoliahub.store.FaultyTableStore;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.store.StoreFaults;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

/**
 * A few gateways and agents with one table store under virtual time. Every run with the
 * same seed is the same.
 */
final class SimulatedSystem {

	static final String DRAFT = "draft";

	static final String FILE = "file";

	static final String REPORT = "report";

	private static final AvailabilityZone ZONE = new AvailabilityZone("zone-a");

	private final TestScheduler scheduler = new TestScheduler();

	private final TimerService time = SchedulerTimerService.virtual(this.scheduler);

	private final SplittableRandom random;

	private final StoreFaults storeFaults;

	private final TableStore store;

	private final List<SimulatedAgent> agents = new ArrayList<>();

	private final List<SimulatedGateway> gateways = new ArrayList<>();

	private final List<SimulatedCall> calls = new ArrayList<>();

	private Configuration configuration = configuration();

	SimulatedSystem(long seed, int gatewayCount) {
		this.random = new SplittableRandom(seed);
		this.storeFaults = StoreFaults.none();
		this.store = FaultyTableStore.of(InMemoryTableStore.of(this.time, Duration.ofMillis(3)), this.storeFaults,
				this.time, this.random.split(), Duration.ofSeconds(1));
		for (Endpoint endpoint : this.configuration.endpoints().values().stream().sorted(this::compare).toList()) {
			SimulatedBackEnd backEnd = new SimulatedBackEnd(this.time, this.random.split(), durationOf(endpoint));
			this.agents.add(new SimulatedAgent(endpoint, backEnd, this.time, AgentLimits.of(4)));
		}
		for (int i = 0; i < gatewayCount; i++) {
			this.gateways.add(new SimulatedGateway("gateway-" + i, () -> this.configuration, this.agents, this.store,
					this.time, this.random.split(), GatewayLimits.defaults(), policyOf(seed)));
		}
		advance(Duration.ofMillis(10));
	}

	// Half of the seeds run the product's policy, the others the simplest one.
	private static RoutingPolicy policyOf(long seed) {
		return ((seed & 1) == 0) ? RoutingPolicy.DEADLINE_AWARE : RoutingPolicy.LEAST_OUTSTANDING;
	}

	private int compare(Endpoint left, Endpoint right) {
		return left.name().compareTo(right.name());
	}

	private static Duration durationOf(Endpoint endpoint) {
		return Duration.ofMillis(endpoint.pool().equals("model") ? 300 : 60);
	}

	private static Configuration configuration() {
		StageDefinition encode = new StageDefinition("encode", StageType.ENCODE, "encoder", true, "/v1/embeddings", 1);
		StageDefinition retrieve = new StageDefinition("retrieve", StageType.RETRIEVE, "retriever", true, "/retrieve",
				1);
		StageDefinition generate = new StageDefinition("generate", StageType.GENERATE, "model", true, "/v1/completions",
				5);
		StageDefinition file = new StageDefinition("file", StageType.SERVICE, "filing", false, "/filings", 1);
		List<Endpoint> endpoints = new ArrayList<>();
		for (String pool : List.of("encoder", "retriever", "model", "filing")) {
			for (int i = 0; i < 3; i++) {
				endpoints.add(new Endpoint(pool + "-" + i, pool, ZONE, "127.0.0.1:" + (7000 + i), false));
			}
		}
		Duration deadline = Duration.ofSeconds(5);
		return Configuration.of(1,
				List.of(new PipelineDefinition(DRAFT, List.of(encode, retrieve, generate)),
						new PipelineDefinition(FILE, List.of(file)),
						new PipelineDefinition(REPORT, List.of(encode, file, generate))),
				List.of(new RequestClass(DRAFT, DRAFT, deadline, Objective.ATTAINMENT, 5),
						new RequestClass(FILE, FILE, deadline, Objective.ATTAINMENT, 0),
						new RequestClass(REPORT, REPORT, deadline, Objective.ATTAINMENT, 3)),
				endpoints, List.of(new Workspace("north", 1, 1000)));
	}

	static String inputOf(String key) {
		return "input of " + key;
	}

	SimulatedCall submit(int gateway, String requestClass, String key, String input) {
		Submission submission = new Submission("north", requestClass, requestClass, Optional.of(key),
				"\"" + input + "\"", Optional.empty());
		SimulatedCall call = new SimulatedCall(submission, this.gateways.get(gateway));
		this.calls.add(call);
		call.gateway().timer().whenRunning().subscribe(call::start);
		return call;
	}

	void advance(Duration duration) {
		this.scheduler.advanceTimeBy(duration.toNanos(), TimeUnit.NANOSECONDS);
	}

	void run(Runnable task, Duration delay) {
		this.time.after(delay).subscribe(task::run);
	}

	StoreFaults storeFaults() {
		return this.storeFaults;
	}

	SplittableRandom random() {
		return this.random;
	}

	List<SimulatedAgent> agents() {
		return this.agents;
	}

	List<SimulatedAgent> agentsOf(String pool) {
		return this.agents.stream().filter((agent) -> agent.endpoint().pool().equals(pool)).toList();
	}

	List<SimulatedGateway> gateways() {
		return this.gateways;
	}

	List<SimulatedCall> calls() {
		return this.calls;
	}

	/**
	 * Puts a configuration without an endpoint in force.
	 * @param name name of the endpoint
	 */
	void removeEndpoint(String name) {
		Map<String, Endpoint> endpoints = new HashMap<>(this.configuration.endpoints());
		endpoints.remove(name);
		this.configuration = new Configuration(this.configuration.version() + 1, this.configuration.pipelines(),
				this.configuration.requestClasses(), endpoints, this.configuration.workspaces());
	}

	Configuration inForce() {
		return this.configuration;
	}

	List<SimulatedBackEnd.Run> runs() {
		return this.agents.stream().flatMap((agent) -> agent.backEnd().runs().stream()).toList();
	}

}
