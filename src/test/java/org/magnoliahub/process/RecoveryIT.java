package org.magnoliahub.process;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against doubled orders, false refusals and interrupted requests when real
 * processes are killed, stopped, suspended or cut off. The evidence is the run log of the
 * back ends.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RecoveryIT {

	private static final String DRAFT = "{\"class\":\"draft\",\"input\":{\"prompt\":\"hello\",\"max_tokens\":100}}";

	private static final String COMPLETE = "complete";

	private static final AtomicInteger KEYS = new AtomicInteger();

	private final ObjectMapper mapper = new ObjectMapper();

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private final Set<String> refused = ConcurrentHashMap.newKeySet();

	private ProcessSystem system;

	@BeforeAll
	void start() throws IOException {
		this.system = ProcessSystem.startRedundant(2, 400);
	}

	@AfterAll
	void stop() {
		this.callers.shutdownNow();
		this.system.close();
	}

	@AfterEach
	void noOrderRanTwiceOrBehindARefusal() throws IOException {
		Map<String, Integer> runs = this.system.orderRuns();
		assertThat(runs).allSatisfy((key, count) -> assertThat(count).as(key).isEqualTo(1));
		assertThat(runs).doesNotContainKeys(this.refused.toArray(String[]::new));
	}

	@Test
	void killedGatewayLeavesItsOrderToTheNextSubmission() throws Exception {
		String key = newKey();
		Future<JsonNode> first = order(0, key);
		awaitRunOf(key);
		long killed = System.nanoTime();
		this.system.gateway(0).kill();
		JsonNode second = result(order(1, key));
		report("kill of a gateway to the answer of the resubmission", killed);
		assertThat(second.path("outcome").asText()).isEqualTo(COMPLETE);
		assertThat(first).failsWithin(Duration.ofSeconds(5));
		this.system.restartGateway(0);
		assertThat(result(order(0, key)).path("answer")).isEqualTo(second.path("answer"));
	}

	@Test
	void killedAgentLeavesItsOrderUnknownAtOnce() throws Exception {
		String key = newKey();
		Future<JsonNode> first = order(0, key);
		String endpoint = awaitRunOf(key);
		long killed = System.nanoTime();
		this.system.agent(endpoint).kill();
		this.system.startAgent(endpoint, this.system.agent(endpoint).port());
		assertThat(result(first).path("outcome").asText()).isEqualTo("outcome_unknown");
		report("kill of an agent to the answer of its order", killed);
		assertThat(result(order(1, key)).path("outcome").asText()).isEqualTo("outcome_unknown");
		this.system.awaitConnections();
	}

	@ParameterizedTest
	@CsvSource({ "agent", "engine" })
	void killedAgentOrEngineIsReplacedInMidDraft(String what) throws Exception {
		Future<JsonNode> draft = draft(0);
		String endpoint = awaitDraftRun();
		long killed = System.nanoTime();
		if (what.equals("agent")) {
			this.system.agent(endpoint).kill();
		}
		else {
			this.system.backEnd(endpoint).kill();
		}
		assertThat(result(draft).path("outcome").asText()).isEqualTo(COMPLETE);
		report("kill of an " + what + " to the answer of its draft", killed);
		this.system.restartEndpoint(endpoint);
	}

	@Test
	void suspendedGatewayAndItsReplacementGiveTheSameAnswer() throws Exception {
		String key = newKey();
		Future<JsonNode> first = order(0, key);
		awaitRunOf(key);
		this.system.gateway(0).signal("STOP");
		JsonNode second = result(order(1, key));
		this.system.gateway(0).signal("CONT");
		assertThat(second.path("outcome").asText()).isEqualTo(COMPLETE);
		assertThat(result(first).path("answer")).isEqualTo(second.path("answer"));
	}

	@Test
	void suspendedAgentAnswersAfterItResumes() throws Exception {
		String key = newKey();
		Future<JsonNode> first = order(0, key);
		RunningProcess agent = this.system.agent(awaitRunOf(key));
		agent.signal("STOP");
		TimeUnit.MILLISECONDS.sleep(1_000);
		agent.signal("CONT");
		assertThat(result(first).path("outcome").asText()).isEqualTo(COMPLETE);
	}

	@ParameterizedTest
	@CsvSource({ "true,false", "false,true", "true,true", "false,false" })
	void orderSurvivesAnInterruptedConnection(boolean toAgent, boolean toGateway) throws Exception {
		String key = newKey();
		Future<JsonNode> first = order(0, key);
		Relay relay = this.system.relay(awaitRunOf(key));
		if (toAgent || toGateway) {
			relay.block(toAgent, toGateway);
			TimeUnit.MILLISECONDS.sleep(1_000);
			relay.block(false, false);
		}
		else {
			relay.cut();
		}
		assertThat(result(first).path("outcome").asText()).isEqualTo(COMPLETE);
		this.system.awaitConnections();
	}

	@Test
	void ordersAreRefusedAndDraftsServedWhileTheStoreIsDown() throws Exception {
		this.system.post(this.system.platform().port(), "/faults", "{\"unavailable\":true}");
		String key = newKey();
		Future<JsonNode> draft = draft(0);
		JsonNode refusal = result(order(0, key));
		assertThat(refusal.path("reason").asText()).isEqualTo("store_unavailable");
		assertThat(this.system.orderRuns()).doesNotContainKey(key);
		assertThat(result(draft).path("outcome").asText()).isEqualTo(COMPLETE);
		this.system.post(this.system.platform().port(), "/faults", "{}");
		awaitCompleteOrder();
	}

	@ParameterizedTest
	@CsvSource(delimiter = ';', quoteCharacter = '`', textBlock = """
			{"extraLatencyMillis":300}
			{"lostAnswerProbability":0.5}
			{"failBeforeProbability":0.5}
			""")
	void ordersRunOnceWithASlowOrUnreliableStore(String faults) throws Exception {
		this.system.post(this.system.platform().port(), "/faults", faults);
		List<Future<JsonNode>> orders = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			orders.add(order(i % 2, newKey()));
		}
		for (Future<JsonNode> order : orders) {
			assertThat(result(order).path("outcome").asText()).isIn(COMPLETE, "not_run", "outcome_unknown");
		}
		this.system.post(this.system.platform().port(), "/faults", "{}");
		awaitCompleteOrder();
	}

	@ParameterizedTest
	@CsvSource({ "gateway", "agent", "model-agent" })
	void plannedStopInterruptsNothing(String what) throws Exception {
		List<Future<JsonNode>> requests = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			requests.add(order(0, newKey()));
			requests.add(draft(0));
		}
		awaitDraftRun();
		String endpoint = what.equals("agent") ? "filing-0" : "model-0";
		RunningProcess stopped = what.equals("gateway") ? this.system.gateway(0) : this.system.agent(endpoint);
		assertThat(stopped.terminate()).isTrue();
		for (Future<JsonNode> request : requests) {
			assertThat(result(request).path("outcome").asText()).isEqualTo(COMPLETE);
		}
		if (what.equals("gateway")) {
			this.system.restartGateway(0);
		}
		else {
			this.system.startAgent(endpoint, stopped.port());
			this.system.awaitConnections();
		}
	}

	private static String newKey() {
		return "order-" + KEYS.incrementAndGet();
	}

	private Future<JsonNode> order(int gateway, String key) {
		return this.callers.submit(() -> {
			JsonNode answer = this.system.order(gateway, key);
			if (answer.path("outcome").asText().equals("not_run")) {
				this.refused.add(key);
			}
			return answer;
		});
	}

	private Future<JsonNode> draft(int gateway) {
		return this.callers
			.submit(() -> this.mapper.readTree(this.system.submit(gateway, "report", "", DRAFT, "application/json")));
	}

	private static JsonNode result(Future<JsonNode> answer)
			throws InterruptedException, ExecutionException, TimeoutException {
		return answer.get(15, TimeUnit.SECONDS);
	}

	private String awaitRunOf(String key) {
		return awaitRun(ProcessSystem.FILING, "\"idempotency_key\":\"" + key + "\"");
	}

	private String awaitDraftRun() {
		return awaitRun("model", "\"ended_ms\":null");
	}

	// Returns the endpoint that has the run.
	private String awaitRun(String pool, String text) {
		CompletableFuture<String> found = new CompletableFuture<>();
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.pollDelay(Duration.ZERO)
			.pollInterval(Duration.ofMillis(20))
			.until(() -> {
				for (String endpoint : List.of(pool + "-0", pool + "-1")) {
					if (this.system.get(this.system.backEnd(endpoint).port(), "/runs").contains(text)) {
						found.complete(endpoint);
					}
				}
				return found.isDone();
			});
		return found.join();
	}

	private void awaitCompleteOrder() {
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.until(() -> result(order(0, newKey())).path("outcome").asText().equals(COMPLETE));
	}

	private static void report(String what, long sinceNanos) {
		System.out.println(
				"time from " + what + ": " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos) + " ms");
	}

}
