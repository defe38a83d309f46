package org.magnoliahub.entry;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;
import org.magnoliahub.platform.emulator.StoreEmulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the guarantees to callers over real connections: complete responses to the right
 * request, at-most-once execution, truthful refusals, draining, and use of the current
 * configuration.
 */
class EntryGatewayTests {

	private EntryFixture fixture;

	private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void recordExecution(RawServer.Request request) {
		this.executions.computeIfAbsent(request.header("Request-Id"), (id) -> new AtomicInteger()).incrementAndGet();
	}

	private int executions(String id) {
		return this.executions.getOrDefault(id, new AtomicInteger()).get();
	}

	private void addHealthyEndpoint(String id, String service) throws IOException {
		this.fixture.addEndpoint(id, service, (request, socket) -> {
			recordExecution(request);
			RawServer.write(socket, EntryFixture.signedResponse(request, "answer of " + id));
		});
	}

	@Test
	void requestIsForwardedAndResponseRelayed() throws Exception {
		List<RawServer.Request> seen = new CopyOnWriteArrayList<>();
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			seen.add(request);
			RawServer.write(socket, EntryFixture.signedResponse(request, "hello"));
		});
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/order/1?a=b", "r1", "Deadline-Ms: 900", "Tenant: x");
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.body()).isEqualTo("hello");
		assertThat(response.headers()).containsEntry("response-signature", "s");
		RawServer.Request request = seen.get(0);
		assertThat(request.start()).isEqualTo("POST /order/1?a=b HTTP/1.1");
		assertThat(request.body()).isEqualTo("hi");
		assertThat(request.header("Tenant")).isEqualTo("workspace-1");
		assertThat(request.header("Target-Instance")).isEqualTo("i-1");
		assertThat(request.header("Authorization")).isEmpty();
		assertThat(Integer.parseInt(request.header("Deadline-Ms"))).isBetween(1, 900);
	}

	@ParameterizedTest
	@CsvSource({ "/nothing/1,key-1,404", "/look/1,wrong,401" })
	void unknownRouteOrKeyIsRefused(String target, String key, int status) throws IOException {
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, "GET " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nAuthorization: Bearer "
					+ key + "\r\n\r\n");
			assertThat(CallerAnswer.read(socket.getInputStream()).status()).isEqualTo(status);
		}
	}

	@Test
	void refusalWithoutEndpointHasRetryAfter() throws IOException {
		CallerAnswer response = this.fixture.send("POST", "/order/1", "r1");
		assertThat(response.status()).isEqualTo(503);
		assertThat(Double.parseDouble(response.headers().get("retry-after"))).isPositive();
	}

	@ParameterizedTest
	@ValueSource(strings = { "reset", "close", "garbage", "unsigned", "unproven", "truncated" })
	void nonIdempotentRequestWithLostResponseFailsWithoutRetry(String fault) throws Exception {
		for (String id : List.of("i-1", "i-2")) {
			this.fixture.addEndpoint(id, "plain", (request, socket) -> {
				recordExecution(request);
				sendFaultyResponse(fault, request, socket);
			});
		}
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/order/1", "r1");
		assertThat(response.status()).isEqualTo(502);
		assertThat(executions("r1")).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "reset", "close", "garbage", "unsigned", "unproven", "truncated" })
	void idempotentRequestWithLostResponseIsRetried(String fault) throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			recordExecution(request);
			sendFaultyResponse(fault, request, socket);
		});
		addHealthyEndpoint("i-2", "plain");
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			CallerAnswer response = this.fixture.send("GET", "/look/1", "r" + index);
			assertThat(response.status()).isEqualTo(200);
			assertThat(response.body()).isEqualTo("answer of i-2");
			assertThat(executions("r" + index)).isBetween(1, 2);
		}
	}

	private static void sendFaultyResponse(String fault, RawServer.Request request, Socket socket) throws IOException {
		switch (fault) {
			case "reset" -> RawServer.reset(socket);
			case "close" -> socket.close();
			case "garbage" -> RawServer.write(socket, "nonsense\r\n\r\n");
			case "unsigned" -> RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nContent-Length: 2\r\n\r\nno");
			case "unproven" -> RawServer.write(socket,
					"HTTP/1.1 503 X\r\nRequest-Id: " + request.header("Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
			default -> {
				RawServer.write(socket, EntryFixture.signedResponse(request, "0123456789").replace("89", ""));
				socket.close();
			}
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 503, 421, 429 })
	void nonIdempotentRequestIsRetriedAfterProofOfNonExecution(int status) throws Exception {
		this.fixture.addEndpoint("i-1", "plain",
				(request, socket) -> RawServer.write(socket, EntryFixture.notExecutedResponse(request, status)));
		addHealthyEndpoint("i-2", "plain");
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			assertThat(this.fixture.send("POST", "/order/1", "r" + index).status()).isEqualTo(200);
			assertThat(executions("r" + index)).isEqualTo(1);
		}
	}

	@Test
	void duplicateResponseIsNotUsedForNextRequest() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			String response = EntryFixture.signedResponse(request, "for " + request.header("Request-Id"));
			RawServer.write(socket, response);
			RawServer.write(socket, response);
		});
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 10; index++) {
			CallerAnswer response = this.fixture.send("GET", "/look/1", "r" + index);
			assertThat(response.body()).isEqualTo("for r" + index);
		}
	}

	@Test
	void responseWithoutLengthEndsAtConnectionClose() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nResponse-Signature: s\r\n\r\nwhole");
			socket.close();
		});
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/order/1", "r1");
		assertThat(response.body()).isEqualTo("whole");
		assertThat(response.headers()).containsEntry("content-length", "5");
	}

	@Test
	void responseWithoutLengthIsIncompleteAfterReset() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nResponse-Signature: s\r\n\r\npart");
			sleep(100);
			RawServer.reset(socket);
		});
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(502);
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void unansweredNonIdempotentRequestEndsAtRouteTimeout() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> recordExecution(request));
		this.fixture.awaitEndpoints();
		long started = System.nanoTime();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(504);
		assertThat((System.nanoTime() - started) / 1_000_000).isBetween(1_400L, 2_000L);
		assertThat(executions("r1")).isEqualTo(1);
	}

	@Test
	void unansweredIdempotentRequestIsRetried() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> recordExecution(request));
		addHealthyEndpoint("i-2", "plain");
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).status()).isEqualTo(200);
		}
	}

	@Test
	void brokenStreamIsResumed() throws Exception {
		List<String> resumedAt = new CopyOnWriteArrayList<>();
		RawServer.Handler broken = (request, socket) -> {
			String last = request.header("Last-Event-Id");
			if (last.isEmpty()) {
				RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1))
						+ EntryFixture.chunk(EntryFixture.event(2)) + EntryFixture.chunk("id: 3\nda"));
				socket.close();
				return;
			}
			resumedAt.add(last);
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(3))
					+ EntryFixture.chunk(EntryFixture.event(4)) + "0\r\n\r\n");
		};
		this.fixture.addEndpoint("m-1", "model", broken);
		this.fixture.addEndpoint("m-2", "model", broken);
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/draft/1", "r1");
		assertThat(response.complete()).isTrue();
		assertThat(response.body())
			.isEqualTo(EntryFixture.event(1) + EntryFixture.event(2) + EntryFixture.event(3) + EntryFixture.event(4));
		assertThat(resumedAt).containsExactly("2");
	}

	@Test
	void brokenNonResumableStreamIsAborted() throws Exception {
		RawServer.Handler broken = (request, socket) -> {
			recordExecution(request);
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			socket.close();
		};
		this.fixture.addEndpoint("m-1", "model", broken);
		this.fixture.addEndpoint("m-2", "model", broken);
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/once/1", "r1");
		assertThat(response.complete()).isFalse();
		assertThat(executions("r1")).isEqualTo(1);
	}

	@Test
	void callerDisconnectCancelsRequest() throws Exception {
		AtomicInteger closed = new AtomicInteger();
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> {
			if (socket.getInputStream().read() < 0) {
				closed.incrementAndGet();
			}
		});
		this.fixture.awaitEndpoints();
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, EntryFixture.request("POST", "/once/1", "r1"));
			sleep(200);
		}
		Awaitility.await().until(() -> closed.get() == 1);
	}

	@ParameterizedTest
	@ValueSource(strings = {
			"POST /look/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"POST /look/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
			"POST /look/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
			"POST /look/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
			"GET /look/1 HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "nonsense\r\n\r\n" })
	void ambiguousRequestIsRejectedAndConnectionClosed(String bytes) throws IOException {
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, bytes + "GET /look/2 HTTP/1.1\r\nHost: h\r\n\r\n");
			CallerAnswer response = CallerAnswer.read(socket.getInputStream());
			assertThat(response.status()).isEqualTo(400);
			assertThat(response.headers()).containsEntry("connection", "close");
		}
		assertThat(this.executions).isEmpty();
	}

	@Test
	void oversizedHeadAndBodyAreRejected() throws IOException {
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, "GET /look/1 HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(5_000) + "\r\n\r\n");
			assertThat(CallerAnswer.read(socket.getInputStream()).status()).isEqualTo(431);
		}
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, "POST /look/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n");
			assertThat(CallerAnswer.read(socket.getInputStream()).status()).isEqualTo(413);
		}
	}

	@Test
	void slowHeadIsRejected() throws IOException {
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, "GET /look/1 HT");
			assertThat(CallerAnswer.read(socket.getInputStream()).status()).isEqualTo(408);
		}
	}

	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		addHealthyEndpoint("i-1", "plain");
		this.fixture.awaitEndpoints();
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket,
					EntryFixture.request("GET", "/look/1", "r1") + EntryFixture.request("GET", "/look/1", "r2"));
			String first = read(socket, "answer of i-1");
			assertThat(first).contains("Request-Id: r1");
			assertThat(read(socket, "answer of i-1")).contains("Request-Id: r2");
		}
	}

	private static String read(Socket socket, String end) throws IOException {
		StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith(end)) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				break;
			}
			text.append((char) next);
		}
		return text.toString();
	}

	@Test
	void drainingEndpointGetsNoMoreRequests() throws Exception {
		addHealthyEndpoint("i-1", "plain");
		RawServer leaving = this.fixture.addEndpoint("i-2", "plain", (request, socket) -> {
			recordExecution(request);
			RawServer.write(socket, EntryFixture.signedResponse(request, "late"));
		});
		this.fixture.awaitEndpoints();
		this.fixture.listEndpoint("i-2", "plain", leaving.address(), "draining");
		sleep(1_000);
		for (int index = 0; index < 20; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).body()).isEqualTo("answer of i-1");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "SILENT", "BUSY", "RESET" })
	void requestsAreServedWhileStoreIsUnavailable(String mode) throws Exception {
		addHealthyEndpoint("i-1", "plain");
		this.fixture.awaitEndpoints();
		this.fixture.store.setMode(StoreEmulator.Mode.valueOf(mode));
		sleep(2_500);
		assertThat(this.fixture.send("GET", "/look/1", "r1").status()).isEqualTo(200);
		assertThat(this.fixture.readinessStatus(0)).isEqualTo(200);
		this.fixture.putConfigurationWithoutRoute(2, "look");
		this.fixture.store.setMode(StoreEmulator.Mode.SOUND);
		Awaitility.await().until(() -> this.fixture.send("GET", "/look/1", "r2").status() == 404);
	}

	@Test
	void olderConfigurationIsIgnored() throws Exception {
		this.fixture.putConfigurationWithoutRoute(9, "look");
		Awaitility.await().until(() -> this.fixture.send("GET", "/look/1", "r").status() == 404);
		this.fixture.putConfiguration(8);
		sleep(500);
		assertThat(this.fixture.send("GET", "/look/1", "r").status()).isEqualTo(404);
	}

	@Test
	void malformedConfigurationIsIgnored() throws Exception {
		this.fixture.store.put("op", "config", "{\"version\":5}");
		sleep(500);
		assertThat(this.fixture.send("GET", "/nothing/", "r").status()).isEqualTo(404);
		this.fixture.putConfigurationWithoutRoute(6, "look");
		Awaitility.await().until(() -> this.fixture.send("GET", "/look/1", "r").status() == 404);
	}

	@Test
	void removalIsDetectedAfterLossOfHistory() throws Exception {
		addHealthyEndpoint("i-1", "plain");
		this.fixture.awaitEndpoints();
		this.fixture.store.remove("servers", "i-1");
		this.fixture.store.forgetHistory();
		sleep(1_500);
		assertThat(this.fixture.send("GET", "/look/1", "r").status()).isEqualTo(503);
	}

	@Test
	void gatewayWithoutAConfigurationIsNotReady() throws Exception {
		this.fixture.store.setMode(StoreEmulator.Mode.BUSY);
		int second = this.fixture.addGateway();
		assertThat(this.fixture.readinessStatus(second)).isEqualTo(503);
		assertThat(this.fixture.sendTo(second, "GET", "/look/1", "r").status()).isEqualTo(503);
		this.fixture.store.setMode(StoreEmulator.Mode.SOUND);
		this.fixture.awaitReady(second);
	}

	@Test
	void gracefulShutdownCompletesOpenRequests() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			sleep(600);
			RawServer.write(socket, EntryFixture.signedResponse(request, "late"));
		});
		this.fixture.awaitEndpoints();
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, EntryFixture.request("POST", "/order/1", "r1"));
			sleep(100);
			Thread stopping = new Thread(() -> this.fixture.gateway(0).stop());
			stopping.start();
			sleep(50);
			assertThat(this.fixture.readinessStatus(0)).isEqualTo(503);
			CallerAnswer response = CallerAnswer.read(socket.getInputStream());
			assertThat(response.body()).isEqualTo("late");
			assertThat(response.headers()).containsEntry("connection", "close");
			stopping.join(8_000);
			assertThat(stopping.isAlive()).isFalse();
		}
	}

	@Test
	void piecesOfRequestsAndGatewaysShareBatches() throws Exception {
		int second = this.fixture.addGateway();
		this.fixture.awaitReady(second);
		StageEmulator stages = new StageEmulator(40, 1);
		this.fixture.addEndpoint("s-1", "read", stages.handler());
		this.fixture.addEndpoint("s-2", "rank", stages.handler());
		List<String> inputs = new CopyOnWriteArrayList<>();
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> {
			inputs.add(request.header("Inputs"));
			RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n");
		});
		this.fixture.awaitEndpoints();
		List<Integer> statuses = IntStream.range(0, 24).parallel().mapToObj((index) -> {
			try {
				return this.fixture
					.sendTo(index % 2, "POST", "/staged/1", "r" + index, "Pieces: 1,2", "Piece-Key: k" + index)
					.status();
			}
			catch (IOException ex) {
				return 0;
			}
		}).toList();
		assertThat(statuses).allMatch((status) -> status == 200);
		assertThat(stages.faults()).isEmpty();
		assertThat(stages.largestCall()).isBetween(2, 4);
		assertThat(inputs).hasSize(24).doesNotHaveDuplicates().allMatch((text) -> text.split(",").length == 2);
		Awaitility.await().untilAsserted(() -> assertThat(stages.held()).isZero());
	}

	@Test
	void idleEndpointConnectionIsClosed() throws Exception {
		List<Socket> sockets = new CopyOnWriteArrayList<>();
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			sockets.add(socket);
			RawServer.write(socket, EntryFixture.signedResponse(request, "answer"));
		});
		this.fixture.awaitEndpoints();
		this.fixture.send("GET", "/look/1", "r1");
		// The server closes its socket when it reads the end of the connection.
		Awaitility.await().atMost(Duration.ofMillis(2_000)).until(() -> sockets.get(0).isClosed());
	}

	@Test
	void logContainsAdmissionAndRefusal() throws IOException {
		this.fixture.send("POST", "/order/1", "story-1");
		Awaitility.await().until(() -> this.fixture.log().contains("request_refused"));
		assertThat(this.fixture.log()).contains("\"event\":\"request_admitted\",\"id\":\"story-1\"")
			.contains("\"id\":\"story-1\",\"route\":\"order\",\"status\":503,\"reason\":\"no_endpoint\"");
	}

	/**
	 * Guards against a request that reaches a gateway after its last open request has
	 * ended during a graceful shutdown, is sent to an endpoint and is aborted by the exit
	 * of the process.
	 */
	@Test
	void stoppedGatewayTakesNoConnection() throws Exception {
		addHealthyEndpoint("i-1", "plain");
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(200);
		this.fixture.gateway(0).stop();
		assertThatThrownBy(() -> this.fixture.send("POST", "/order/2", "r2")).isInstanceOf(ConnectException.class);
		assertThat(executions("r2")).isZero();
	}

}
