package org.magnoliahub.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to an endpoint whose response announced that it drains or
 * requested a pause, for each kind of call over real connections, and against notices
 * that are applied although the endpoint did not send them.
 */
class EndpointNoticeHandlerTests {

	private static final String LEAVING = "Server-Leaving: 1\r\n";

	private EntryFixture fixture;

	private final AtomicInteger firstEndpointRequests = new AtomicInteger();

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private static String withHeader(String response, String header) {
		int end = response.indexOf("\r\n") + 2;
		return response.substring(0, end) + header + response.substring(end);
	}

	private static String refusal(RawServer.Request request, String headers) {
		return withHeader(EntryFixture.notExecutedResponse(request, 503), headers);
	}

	private void addFirstEndpoint(String service, Function<RawServer.Request, String> response) throws IOException {
		this.fixture.addEndpoint("i-1", service, (request, socket) -> {
			this.firstEndpointRequests.incrementAndGet();
			RawServer.write(socket, response.apply(request));
		});
	}

	private void addSecondEndpoint(String service) throws IOException {
		this.fixture.addEndpoint("i-2", service,
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "second")));
	}

	private void sendLookups(int requests) throws IOException {
		for (int index = 0; index < requests; index++) {
			this.fixture.send("GET", "/look/1", "look-" + index + "-" + System.nanoTime());
		}
	}

	private static String streamResponse(RawServer.Request request) {
		return EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n";
	}

	@ParameterizedTest
	@EnumSource(DrainingResponse.class)
	void drainingEndpointGetsNoFurtherRequests(DrainingResponse response) throws Exception {
		addFirstEndpoint(response.service, response.responder);
		this.fixture.awaitEndpoints();
		String method = response.target.startsWith("/look") ? "GET" : "POST";
		this.fixture.send(method, response.target, "first");
		int before = this.firstEndpointRequests.get();
		assertThat(before).isPositive();
		for (int index = 0; index < 12; index++) {
			this.fixture.send(method, response.target, "after-" + index);
		}
		assertThat(this.firstEndpointRequests.get()).isEqualTo(before);
		Awaitility.await()
			.atMost(Duration.ofSeconds(2))
			.until(() -> this.fixture.log().contains("\"event\":\"endpoint_notice\",\"endpoint\":\"i-1\""));
	}

	@Test
	void drainingEndsOnlyWithANewProcess() throws Exception {
		AtomicInteger responses = new AtomicInteger();
		RawServer server = this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			String response = EntryFixture.signedResponse(request, "first");
			RawServer.write(socket, (responses.incrementAndGet() == 1) ? withHeader(response, LEAVING) : response);
		});
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(200);
		writeEndpointRecord(server, new EmulatedSettings.Write(1, 9));
		this.fixture.awaitEndpoints();
		CallerAnswer refused = this.fixture.send("POST", "/order/1", "r2");
		assertThat(refused.status()).isEqualTo(503);
		assertThat(refused.headers()).containsKey("retry-after");
		assertThat(responses.get()).isOne();
		writeEndpointRecord(server, new EmulatedSettings.Write(2, 1));
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r3").status()).isEqualTo(200);
	}

	private void writeEndpointRecord(RawServer server, EmulatedSettings.Write write) {
		this.fixture.store.put(StoreFormat.ENDPOINT_TABLE, "i-1",
				EmulatedSettings.endpoint("plain", server.address(), 4, "ready", write));
	}

	@Test
	void noticeInResponseToAnotherRequestIsIgnored() throws Exception {
		addFirstEndpoint("plain", (request) -> withHeader(EntryFixture.signedResponse(request, "other"), LEAVING)
			.replace(request.header("Request-Id"), "another") + EntryFixture.signedResponse(request, "first"));
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("GET", "/look/1", "r1").body()).isEqualTo("first");
		assertThat(this.fixture.send("GET", "/look/1", "r2").body()).isEqualTo("first");
	}

	@Test
	void noticeInMisdirectedResponseIsIgnored() throws Exception {
		addFirstEndpoint("plain", (request) -> withHeader(EntryFixture.notExecutedResponse(request, 421), LEAVING));
		this.fixture.awaitEndpoints();
		this.fixture.send("GET", "/look/1", "r1");
		assertThat(this.fixture.log()).doesNotContain("endpoint_notice");
	}

	@Test
	void streamOfDrainingEndpointCompletes() throws Exception {
		this.fixture.addEndpoint("i-1", "model", (request, socket) -> {
			RawServer.write(socket, withHeader(EntryFixture.streamHead(request), LEAVING));
			for (int event = 1; event <= 4; event++) {
				sleep(120);
				RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(event)));
			}
			RawServer.write(socket, "0\r\n\r\n");
		});
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/once/1", "r1");
		assertThat(response.status()).isEqualTo(200);
		assertThat(response.complete()).isTrue();
		assertThat(response.body()).contains("id: 4");
	}

	@Test
	void pausedEndpointGetsNoRequestsAndCallersGetRetryAfter() throws Exception {
		AtomicInteger responses = new AtomicInteger();
		this.fixture.addEndpoint("i-1", "plain",
				(request, socket) -> RawServer.write(socket, (responses.incrementAndGet() == 1)
						? refusal(request, "Retry-After: 1.5\r\n") : EntryFixture.signedResponse(request, "first")));
		this.fixture.awaitEndpoints();
		long begin = System.nanoTime();
		for (int index = 0; index < 6; index++) {
			CallerAnswer response = this.fixture.send("POST", "/order/1", "r" + index);
			assertThat(response.status()).isEqualTo(503);
			assertThat(Double.parseDouble(response.headers().get("retry-after"))).isBetween(0.3, 1.5);
		}
		assertThat(Duration.ofNanos(System.nanoTime() - begin)).isLessThan(Duration.ofMillis(1_400));
		assertThat(responses.get()).isOne();
		Thread.sleep(1_600);
		assertThat(this.fixture.send("POST", "/order/1", "later").status()).isEqualTo(200);
	}

	@Test
	void otherEndpointsServeWhileOneIsPaused() throws Exception {
		addFirstEndpoint("plain", (request) -> refusal(request, "Retry-After: 30\r\n"));
		addSecondEndpoint("plain");
		this.fixture.awaitEndpoints();
		sendLookups(20);
		assertThat(this.firstEndpointRequests.get()).isLessThanOrEqualTo(1);
		assertThat(this.fixture.send("GET", "/look/1", "last").body()).isEqualTo("second");
	}

	@Test
	void unparseablePauseIsLoggedAndIgnored() throws Exception {
		addFirstEndpoint("plain", (request) -> refusal(request, "Retry-After: tomorrow\r\n"));
		this.fixture.awaitEndpoints();
		sendLookups(3);
		assertThat(this.firstEndpointRequests.get()).isGreaterThan(1);
		Awaitility.await()
			.atMost(Duration.ofSeconds(2))
			.until(() -> this.fixture.log().contains("\"event\":\"pause_rejected\""));
	}

	@Test
	void pausedStageEndpointGetsNoCallsAndCallersGetRetryAfter() throws Exception {
		List<String> targets = new CopyOnWriteArrayList<>();
		this.fixture.addEndpoint("s-1", "read", (request, socket) -> {
			targets.add(request.target());
			RawServer.write(socket,
					"HTTP/1.1 503 X\r\nRetry-After: 20\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
		});
		this.fixture.addEndpoint("s-2", "rank", new StageEmulator(10, 2).handler());
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> RawServer.write(socket, streamResponse(request)));
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			CallerAnswer response = this.fixture.send("POST", "/staged/1", "r" + index, "Pieces: 2,2",
					"Piece-Key: k" + index);
			assertThat(response.status()).isEqualTo(503);
			assertThat(Double.parseDouble(response.headers().get("retry-after"))).isBetween(10.0, 20.0);
		}
		assertThat(targets).hasSize(1);
	}

	@Test
	void resultsOfPausedEndpointAreNotReleasedDuringThePause() throws Exception {
		StageEmulator stages = new StageEmulator(10, 2);
		List<String> targets = new CopyOnWriteArrayList<>();
		RawServer.Handler handler = stages.handler();
		this.fixture.addEndpoint("s-1", "read", (request, socket) -> {
			targets.add(request.target());
			handler.handle(request, socket);
		});
		this.fixture.addEndpoint("s-2", "rank", (request, socket) -> {
			targets.add("rank" + request.target());
			if (targets.contains("rank/api/stage-run") && request.target().endsWith("free")) {
				RawServer.write(socket, "HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n");
				return;
			}
			handler.handle(request, socket);
		});
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> RawServer.write(socket, streamResponse(request)));
		this.fixture.awaitEndpoints();
		assertThat(sendStagedRequest("r1").status()).isEqualTo(200);
		Awaitility.await().atMost(Duration.ofSeconds(2)).until(() -> targets.contains("rank/api/stage-free"));
		long callsBeforePause = targets.stream().filter((target) -> target.startsWith("rank")).count();
		assertThat(sendStagedRequest("r2").status()).isEqualTo(503);
		Thread.sleep(500);
		assertThat(targets.stream().filter((target) -> target.startsWith("rank")).count()).isEqualTo(callsBeforePause);
	}

	private CallerAnswer sendStagedRequest(String id) throws IOException {
		return this.fixture.send("POST", "/staged/1", id, "Pieces: 2,2", "Piece-Key: k" + id.substring(1));
	}

	@Test
	void drainingStageEndpointGetsNoFurtherCalls() throws Exception {
		StageEmulator stages = new StageEmulator(10, 2);
		AtomicInteger calls = new AtomicInteger();
		RawServer.Handler handler = stages.handler();
		this.fixture.addEndpoint("s-1", "read", (request, socket) -> {
			calls.incrementAndGet();
			String body = "{\"items\":[{\"handle\":\"127.0.0.1:" + socket.getLocalPort()
					+ "/a\"},{\"handle\":\"127.0.0.1:" + socket.getLocalPort() + "/b\"}]}";
			RawServer.write(socket,
					"HTTP/1.1 200 OK\r\n" + LEAVING + "Content-Length: " + body.length() + "\r\n\r\n" + body);
		});
		this.fixture.addEndpoint("s-3", "rank", handler);
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> RawServer.write(socket, streamResponse(request)));
		this.fixture.awaitEndpoints();
		sendStagedRequest("r1");
		assertThat(calls.get()).isOne();
		sendStagedRequest("r2");
		sendStagedRequest("r3");
		assertThat(calls.get()).isOne();
	}

	private static void sleep(long millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	/**
	 * Responses with which an endpoint announces that it drains.
	 */
	private enum DrainingResponse {

		/** A complete response. */
		ANSWER("plain", "/look/1", (request) -> withHeader(EntryFixture.signedResponse(request, "first"), LEAVING)),

		/** A complete response to a non-idempotent request, which cannot be retried. */
		ORDER("plain", "/order/1", (request) -> withHeader(EntryFixture.signedResponse(request, "first"), LEAVING)),

		/** A response which states that the request was not executed. */
		REFUSAL("plain", "/look/1", (request) -> refusal(request, LEAVING)),

		/** An error response of the endpoint. */
		FAILURE("plain", "/look/1",
				(request) -> withHeader(EntryFixture.signedResponse(request, "first"), LEAVING).replace("200 OK",
						"500 X")),

		/** The response head of a stream. */
		STREAM("model", "/draft/1", (request) -> withHeader(streamResponse(request), LEAVING)),

		/** The response head of a stream that cannot be resumed. */
		ONCE("model", "/once/1", (request) -> withHeader(streamResponse(request), LEAVING));

		private final String service;

		private final String target;

		private final Function<RawServer.Request, String> responder;

		DrainingResponse(String service, String target, Function<RawServer.Request, String> responder) {
			this.service = service;
			this.target = target;
			this.responder = responder;
		}

	}

}
