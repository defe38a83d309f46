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
 * Guards the promises to callers over real connections: whole and own answers, nothing
 * twice, truthful refusals, draining, and the configuration in force.
 */
class EntryGatewayTests {

	private EntryFixture fixture;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void ran(RawServer.Request request) {
		this.runs.computeIfAbsent(request.header("Request-Id"), (id) -> new AtomicInteger()).incrementAndGet();
	}

	private int runs(String id) {
		return this.runs.getOrDefault(id, new AtomicInteger()).get();
	}

	private void sound(String id, String service) throws IOException {
		this.fixture.addEndpoint(id, service, (request, socket) -> {
			ran(request);
			RawServer.write(socket, EntryFixture.signedResponse(request, "answer of " + id));
		});
	}

	@Test
	void requestGetsTheWholeAnswerOfAnEndpoint() throws Exception {
		List<RawServer.Request> seen = new CopyOnWriteArrayList<>();
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			seen.add(request);
			RawServer.write(socket, EntryFixture.signedResponse(request, "hello"));
		});
		this.fixture.awaitEndpoints();
		CallerAnswer answer = this.fixture.send("POST", "/order/1?a=b", "r1", "Deadline-Ms: 900", "Tenant: x");
		assertThat(answer.status()).isEqualTo(200);
		assertThat(answer.body()).isEqualTo("hello");
		assertThat(answer.headers()).containsEntry("response-signature", "s");
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
	void withoutAnEndpointTheRefusalSaysWhenToReturn() throws IOException {
		CallerAnswer answer = this.fixture.send("POST", "/order/1", "r1");
		assertThat(answer.status()).isEqualTo(503);
		assertThat(Double.parseDouble(answer.headers().get("retry-after"))).isPositive();
	}

	@ParameterizedTest
	@ValueSource(strings = { "reset", "close", "garbage", "unsigned", "promise", "truncated" })
	void orderWhoseAnswerIsLostIsNeitherRepeatedNorCalledNotRun(String fault) throws Exception {
		for (String id : List.of("i-1", "i-2")) {
			this.fixture.addEndpoint(id, "plain", (request, socket) -> {
				ran(request);
				fail(fault, request, socket);
			});
		}
		this.fixture.awaitEndpoints();
		CallerAnswer answer = this.fixture.send("POST", "/order/1", "r1");
		assertThat(answer.status()).isEqualTo(502);
		assertThat(runs("r1")).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "reset", "close", "garbage", "unsigned", "promise", "truncated" })
	void lookupWhoseAnswerIsLostIsRepeatedElsewhere(String fault) throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			ran(request);
			fail(fault, request, socket);
		});
		sound("i-2", "plain");
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			CallerAnswer answer = this.fixture.send("GET", "/look/1", "r" + index);
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo("answer of i-2");
			assertThat(runs("r" + index)).isBetween(1, 2);
		}
	}

	private static void fail(String fault, RawServer.Request request, Socket socket) throws IOException {
		switch (fault) {
			case "reset" -> RawServer.reset(socket);
			case "close" -> socket.close();
			case "garbage" -> RawServer.write(socket, "nonsense\r\n\r\n");
			case "unsigned" -> RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nContent-Length: 2\r\n\r\nno");
			case "promise" -> RawServer.write(socket,
					"HTTP/1.1 503 X\r\nRequest-Id: " + request.header("Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
			default -> {
				RawServer.write(socket, EntryFixture.signedResponse(request, "0123456789").replace("89", ""));
				socket.close();
			}
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 503, 421, 429 })
	void orderThatAnEndpointProvablyDidNotRunGoesToAnother(int status) throws Exception {
		this.fixture.addEndpoint("i-1", "plain",
				(request, socket) -> RawServer.write(socket, EntryFixture.notExecutedResponse(request, status)));
		sound("i-2", "plain");
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			assertThat(this.fixture.send("POST", "/order/1", "r" + index).status()).isEqualTo(200);
			assertThat(runs("r" + index)).isEqualTo(1);
		}
	}

	@Test
	void lateSecondAnswerIsNotTakenForTheNextOne() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			String answer = EntryFixture.signedResponse(request, "for " + request.header("Request-Id"));
			RawServer.write(socket, answer);
			RawServer.write(socket, answer);
		});
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 10; index++) {
			CallerAnswer answer = this.fixture.send("GET", "/look/1", "r" + index);
			assertThat(answer.body()).isEqualTo("for r" + index);
		}
	}

	@Test
	void answerWithoutALengthEndsWithItsConnection() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nResponse-Signature: s\r\n\r\nwhole");
			socket.close();
		});
		this.fixture.awaitEndpoints();
		CallerAnswer answer = this.fixture.send("POST", "/order/1", "r1");
		assertThat(answer.body()).isEqualTo("whole");
		assertThat(answer.headers()).containsEntry("content-length", "5");
	}

	@Test
	void answerWithoutALengthThatIsResetIsNotWhole() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nResponse-Signature: s\r\n\r\npart");
			pause(100);
			RawServer.reset(socket);
		});
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(502);
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void silentOrderEndsAtTheTimeoutOfItsRoute() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> ran(request));
		this.fixture.awaitEndpoints();
		long started = System.nanoTime();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(504);
		assertThat((System.nanoTime() - started) / 1_000_000).isBetween(1_400L, 2_000L);
		assertThat(runs("r1")).isEqualTo(1);
	}

	@Test
	void silentLookupGoesToAnotherEndpoint() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> ran(request));
		sound("i-2", "plain");
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).status()).isEqualTo(200);
		}
	}

	@Test
	void streamThatBreaksGoesOnWhereItStood() throws Exception {
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
		CallerAnswer answer = this.fixture.send("POST", "/draft/1", "r1");
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body())
			.isEqualTo(EntryFixture.event(1) + EntryFixture.event(2) + EntryFixture.event(3) + EntryFixture.event(4));
		assertThat(resumedAt).containsExactly("2");
	}

	@Test
	void streamThatCannotBeResumedBreaksOffVisibly() throws Exception {
		RawServer.Handler broken = (request, socket) -> {
			ran(request);
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			socket.close();
		};
		this.fixture.addEndpoint("m-1", "model", broken);
		this.fixture.addEndpoint("m-2", "model", broken);
		this.fixture.awaitEndpoints();
		CallerAnswer answer = this.fixture.send("POST", "/once/1", "r1");
		assertThat(answer.complete()).isFalse();
		assertThat(runs("r1")).isEqualTo(1);
	}

	@Test
	void callerThatLeavesCancelsItsRequest() throws Exception {
		AtomicInteger closed = new AtomicInteger();
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> {
			if (socket.getInputStream().read() < 0) {
				closed.incrementAndGet();
			}
		});
		this.fixture.awaitEndpoints();
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, EntryFixture.request("POST", "/once/1", "r1"));
			pause(200);
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
	void requestWithTwoMeaningsIsRefusedAndItsConnectionClosed(String bytes) throws IOException {
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, bytes + "GET /look/2 HTTP/1.1\r\nHost: h\r\n\r\n");
			CallerAnswer answer = CallerAnswer.read(socket.getInputStream());
			assertThat(answer.status()).isEqualTo(400);
			assertThat(answer.headers()).containsEntry("connection", "close");
		}
		assertThat(this.runs).isEmpty();
	}

	@Test
	void oversizedHeadAndBodyAreRefused() throws IOException {
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
	void headThatArrivesTooSlowlyIsRefused() throws IOException {
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, "GET /look/1 HT");
			assertThat(CallerAnswer.read(socket.getInputStream()).status()).isEqualTo(408);
		}
	}

	@Test
	void requestsFollowEachOtherOnOneConnection() throws Exception {
		sound("i-1", "plain");
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
		sound("i-1", "plain");
		RawServer leaving = this.fixture.addEndpoint("i-2", "plain", (request, socket) -> {
			ran(request);
			RawServer.write(socket, EntryFixture.signedResponse(request, "late"));
		});
		this.fixture.awaitEndpoints();
		this.fixture.listEndpoint("i-2", "plain", leaving.address(), "draining");
		pause(1_000);
		for (int index = 0; index < 20; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).body()).isEqualTo("answer of i-1");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "SILENT", "BUSY", "RESET" })
	void requestsAreServedWhileTheStoreIsAway(String mode) throws Exception {
		sound("i-1", "plain");
		this.fixture.awaitEndpoints();
		this.fixture.store.setMode(StoreEmulator.Mode.valueOf(mode));
		pause(2_500);
		assertThat(this.fixture.send("GET", "/look/1", "r1").status()).isEqualTo(200);
		assertThat(this.fixture.readinessStatus(0)).isEqualTo(200);
		this.fixture.putConfigurationWithoutRoute(2, "look");
		this.fixture.store.setMode(StoreEmulator.Mode.SOUND);
		Awaitility.await().until(() -> this.fixture.send("GET", "/look/1", "r2").status() == 404);
	}

	@Test
	void configurationNeverGoesBack() throws Exception {
		this.fixture.putConfigurationWithoutRoute(9, "look");
		Awaitility.await().until(() -> this.fixture.send("GET", "/look/1", "r").status() == 404);
		this.fixture.putConfiguration(8);
		pause(500);
		assertThat(this.fixture.send("GET", "/look/1", "r").status()).isEqualTo(404);
	}

	@Test
	void configurationThatCannotBeReadChangesNothing() throws Exception {
		this.fixture.store.put("op", "config", "{\"version\":5}");
		pause(500);
		assertThat(this.fixture.send("GET", "/nothing/", "r").status()).isEqualTo(404);
		this.fixture.putConfigurationWithoutRoute(6, "look");
		Awaitility.await().until(() -> this.fixture.send("GET", "/look/1", "r").status() == 404);
	}

	@Test
	void removalInALostHistoryIsSeen() throws Exception {
		sound("i-1", "plain");
		this.fixture.awaitEndpoints();
		this.fixture.store.remove("servers", "i-1");
		this.fixture.store.forgetHistory();
		pause(1_500);
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
	void plannedStopFinishesWhatIsOpen() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			pause(600);
			RawServer.write(socket, EntryFixture.signedResponse(request, "late"));
		});
		this.fixture.awaitEndpoints();
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, EntryFixture.request("POST", "/order/1", "r1"));
			pause(100);
			Thread stopping = new Thread(() -> this.fixture.gateway(0).stop());
			stopping.start();
			pause(50);
			assertThat(this.fixture.readinessStatus(0)).isEqualTo(503);
			CallerAnswer answer = CallerAnswer.read(socket.getInputStream());
			assertThat(answer.body()).isEqualTo("late");
			assertThat(answer.headers()).containsEntry("connection", "close");
			stopping.join(8_000);
			assertThat(stopping.isAlive()).isFalse();
		}
	}

	@Test
	void piecesOfManyRequestsAndGatewaysShareCalls() throws Exception {
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
	void idleConnectionToAnEndpointIsNotKeptForLong() throws Exception {
		List<Socket> sockets = new CopyOnWriteArrayList<>();
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			sockets.add(socket);
			RawServer.write(socket, EntryFixture.signedResponse(request, "answer"));
		});
		this.fixture.awaitEndpoints();
		this.fixture.send("GET", "/look/1", "r1");
		// The server's thread reads the end of the connection and closes its socket.
		Awaitility.await().atMost(Duration.ofMillis(2_000)).until(() -> sockets.get(0).isClosed());
	}

	@Test
	void logTellsTheStoryOfARefusedRequest() throws IOException {
		this.fixture.send("POST", "/order/1", "story-1");
		Awaitility.await().until(() -> this.fixture.log().contains("request_refused"));
		assertThat(this.fixture.log()).contains("\"event\":\"request_admitted\",\"id\":\"story-1\"")
			.contains("\"id\":\"story-1\",\"route\":\"order\",\"status\":503,\"reason\":\"no_endpoint\"");
	}

	/**
	 * Guards against a request that arrives when a stopping gateway has no other, is sent
	 * to an endpoint and is cut by the end of the process.
	 */
	@Test
	void stoppedGatewayTakesNoConnection() throws Exception {
		sound("i-1", "plain");
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(200);
		this.fixture.gateway(0).stop();
		assertThatThrownBy(() -> this.fixture.send("POST", "/order/2", "r2")).isInstanceOf(ConnectException.class);
		assertThat(runs("r2")).isZero();
	}

}
