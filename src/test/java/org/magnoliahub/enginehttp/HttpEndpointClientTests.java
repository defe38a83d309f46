package org.magnoliahub.enginehttp;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;
import okhttp3.mockwebserver.SocketPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.StageType;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.protocol.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the format of each call and whether each failure reports a possible effect.
 */
class HttpEndpointClientTests {

	private static final String DONE = "data: [DONE]\n\n";

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Scheduler eventLoop = Schedulers.from(this.executor);

	private final MockWebServer server = new MockWebServer();

	@BeforeEach
	void startServer() throws Exception {
		this.server.start(InetAddress.getLoopbackAddress(), 0);
	}

	@AfterEach
	void stopServer() throws Exception {
		this.server.shutdown();
		this.executor.shutdownNow();
		RxJavaPlugins.setErrorHandler(null);
	}

	static List<Arguments> callFormats() {
		return List.of(
				Arguments.of(StageType.GENERATE, event("a") + ": comment\n\n" + event("b") + DONE, "ab", 2L,
						"{'model':'m','prompt':'p\\n\\nd1\\n\\nd0\\n\\ntext','max_tokens':7,'stream':true,"
								+ "'stream_options':{'include_usage':true},'priority':3}"),
				Arguments.of(StageType.GENERATE,
						event("a") + "data: {'choices':[],'usage':{'completion_tokens':9}}\n\n".replace('\'', '"')
								+ DONE,
						"a", 9L, ""),
				Arguments.of(StageType.ENCODE, "{'data':[{'embedding':[1,2.5]}],'usage':{'total_tokens':4}}", "[1,2.5]",
						4L, "{'model':'m','input':'p'}"),
				Arguments.of(StageType.RETRIEVE, "{'documents':['x','y']}", "['x','y']", 1L,
						"{'query':'p','vector':[0.5,1],'top_k':5}"),
				Arguments.of(StageType.RERANK,
						"{'results':[{'index':0,'relevance_score':0.1},{'index':1,'relevance_score':0.9}]}",
						"['d0','d1']", 1L, "{'model':'m','query':'p','documents':['d1','d0']}"),
				Arguments.of(StageType.SERVICE, "any text", "any text", 1L, ""));
	}

	// Guards against a request or response format that differs from the documented one.
	@ParameterizedTest
	@MethodSource("callFormats")
	void eachStageTypeUsesItsDocumentedFormat(StageType type, String response, String content, long units,
			String requestBody) throws Exception {
		boolean json = type != StageType.GENERATE;
		this.server.enqueue(new MockResponse().setBody(json ? response.replace('\'', '"') : response));
		List<EndpointEvent> events = runCall(call(type, previousOutputs())).values();
		RecordedRequest request = this.server.takeRequest();
		assertThat(events.get(events.size() - 1)).isEqualTo(new EndpointEvent.Finished(units));
		assertThat(concatenateContent(events)).isEqualTo(json ? content.replace('\'', '"') : content);
		if (!requestBody.isEmpty()) {
			JsonNode expected = new ObjectMapper().readTree(requestBody.replace('\'', '"'));
			assertThat(new ObjectMapper().readTree(request.getBody().readUtf8())).isEqualTo(expected);
		}
		assertThat(request.getPath()).isEqualTo("/path");
		assertThat(request.getHeader("Request-Id")).isEqualTo("r1");
		assertThat(request.getHeader("Attempt")).isEqualTo("2");
		assertThat(request.getHeader("Idempotency-Key")).isEqualTo((type == StageType.SERVICE) ? "key" : null);
	}

	static List<Arguments> failures() {
		MockResponse unresponsive = new MockResponse().setSocketPolicy(SocketPolicy.NO_RESPONSE);
		return List.of(failure("busy", StageType.SERVICE, status(429), false),
				failure("unavailable", StageType.SERVICE, status(503), false),
				failure("unavailable, retry immediately", StageType.SERVICE, status(503).setHeader("Retry-After", "0"),
						false),
				failure("error", StageType.SERVICE, status(500), true),
				failure("request timeout", StageType.SERVICE, status(408), true),
				failure("redirect", StageType.SERVICE, status(307).setHeader("Location", "/other"), true),
				failure("closed without response", StageType.SERVICE,
						new MockResponse().setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST), true),
				failure("no response before timeout", StageType.SERVICE, unresponsive, true),
				failure("body truncated", StageType.SERVICE,
						new MockResponse().setBody("x".repeat(1000))
							.setSocketPolicy(SocketPolicy.DISCONNECT_DURING_RESPONSE_BODY),
						true),
				failure("body too large", StageType.SERVICE, new MockResponse().setBody("x".repeat(1024 * 1024 + 1)),
						true),
				failure("no terminal marker", StageType.GENERATE, new MockResponse().setBody(event("a")), true),
				failure("truncated within a line", StageType.GENERATE,
						new MockResponse().setBody(event("a") + "data: {"), true),
				failure("error event", StageType.GENERATE, new MockResponse().setBody("data: {\"error\":{}}\n\n"),
						true),
				failure("not JSON", StageType.GENERATE, new MockResponse().setBody("data: x\n\n" + DONE), true),
				failure("stream too large", StageType.GENERATE,
						new MockResponse().setBody(event("y".repeat(10_000)).repeat(110) + DONE), true),
				failure("line too large", StageType.GENERATE,
						new MockResponse().setBody(event("y".repeat(1024 * 1024))), true),
				failure("unexpected format", StageType.ENCODE, new MockResponse().setBody("{}"), true),
				failure("unknown document", StageType.RERANK,
						new MockResponse().setBody("{\"results\":[{\"index\":9,\"relevance_score\":1}]}"), true));
	}

	// Guards against an incomplete result reported as complete, a failure that wrongly
	// excludes an effect at the back end, and a call that is sent twice.
	@ParameterizedTest(name = "{0}")
	@MethodSource("failures")
	void failureReportsWhetherTheCallMayHaveRun(String name, StageType type, MockResponse response,
			boolean effectPossible) {
		this.server.enqueue(response);
		this.server.enqueue(new MockResponse().setBody("{}"));
		TestSubscriber<EndpointEvent> subscriber = runCall(call(type, previousOutputs()));
		subscriber.assertError(
				(error) -> error instanceof EndpointException failure && failure.isEffectPossible() == effectPossible);
		assertThat(subscriber.values()).noneMatch(EndpointEvent.Finished.class::isInstance);
		assertThat(this.server.getRequestCount()).isEqualTo(1);
	}

	static List<Arguments> cutResponses() {
		String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
		return List.of(Arguments.of(StageType.SERVICE, head + "Content-Length: 4\r\n\r\nabcd"),
				Arguments.of(StageType.SERVICE, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"),
				Arguments.of(StageType.ENCODE, head + "\r\n{\"data\":[{\"embedding\":[1,2.5]}]}"),
				Arguments.of(StageType.RETRIEVE, head + "\r\n{\"documents\":[\"x\",\"y\"]}"),
				Arguments.of(StageType.GENERATE, head + "\r\n" + event("a") + DONE.substring(0, DONE.length() - 1)));
	}

	/** Guards against a response that ends early and is reported as a result. */
	@ParameterizedTest
	@MethodSource("cutResponses")
	void responseThatEndsEarlyIsNoResult(StageType type, String response) throws Exception {
		for (int cut = 0; cut < response.length(); cut++) {
			String part = response.substring(0, cut);
			try (RawServer cutting = RawServer.start((request, socket) -> {
				RawServer.write(socket, part);
				socket.close();
			})) {
				HttpEndpointClient client = HttpEndpointClient.create("http://" + cutting.address(), "m",
						this.eventLoop);
				TestSubscriber<EndpointEvent> subscriber = client.call(call(type, List.of()), Duration.ofSeconds(5), 0)
					.test()
					.awaitDone(10, TimeUnit.SECONDS);
				assertThat(subscriber.values()).as(part).noneMatch(EndpointEvent.Finished.class::isInstance);
				subscriber.assertError((error) -> error instanceof EndpointException);
			}
		}
	}

	// Guards against reporting an unknown outcome although nothing was sent.
	@Test
	void refusedConnectionReportsNoEffect() throws Exception {
		int port;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			port = socket.getLocalPort();
		}
		HttpEndpointClient client = HttpEndpointClient.create("http://127.0.0.1:" + port, "m", this.eventLoop);
		client.call(call(StageType.SERVICE, List.of()), Duration.ofSeconds(5), 0)
			.test()
			.awaitDone(10, TimeUnit.SECONDS)
			.assertError((error) -> error instanceof EndpointException failure && !failure.isEffectPossible());
	}

	// Guards against a back end that keeps working on a cancelled call, and against
	// undeliverable errors that the cancellation causes.
	@Test
	void cancellationClosesTheConnection() throws Exception {
		Queue<Throwable> undeliverableErrors = new ConcurrentLinkedQueue<>();
		RxJavaPlugins.setErrorHandler(undeliverableErrors::add);
		this.server.enqueue(
				new MockResponse().setBody(event("a").repeat(20) + DONE).throttleBody(100, 50, TimeUnit.MILLISECONDS));
		TestSubscriber<EndpointEvent> subscriber = client()
			.call(call(StageType.GENERATE, List.of()), Duration.ofSeconds(20), 0)
			.test();
		subscriber.awaitCount(1);
		subscriber.cancel();
		int receivedBeforeCancellation = subscriber.values().size();
		this.server.enqueue(new MockResponse().setBody("next"));
		runCall(call(StageType.SERVICE, List.of())).assertComplete();
		this.server.takeRequest();
		assertThat(this.server.takeRequest().getSequenceNumber()).isZero();
		assertThat(subscriber.values()).hasSizeBetween(receivedBeforeCancellation, 19);
		assertThat(undeliverableErrors).isEmpty();
	}

	// Guards against opening a new connection for each call.
	@Test
	void connectionIsReused() throws Exception {
		HttpEndpointClient client = client();
		for (int i = 0; i < 20; i++) {
			this.server.enqueue(new MockResponse().setBody(event("a") + DONE));
			client.call(call(StageType.GENERATE, List.of()), Duration.ofSeconds(20), 0)
				.test()
				.awaitDone(10, TimeUnit.SECONDS)
				.assertComplete();
			assertThat(this.server.takeRequest().getSequenceNumber()).isEqualTo(i);
		}
	}

	// Guards against a refusal that the back end repeats before the response to the next
	// call, which has run.
	@ParameterizedTest
	@ValueSource(strings = { "", "Request-Id: r0\r\n" })
	void repeatedRefusalIsNotTakenForTheNextResponse(String header) throws Exception {
		String refusal = "HTTP/1.1 503 X\r\n" + header + "Content-Length: 0\r\n\r\n";
		Set<Socket> refused = ConcurrentHashMap.newKeySet();
		try (RawServer backEnd = RawServer.start((request, socket) -> {
			if (request.header("Request-Id").equals("r0")) {
				refused.add(socket);
				RawServer.write(socket, refusal);
				return;
			}
			RawServer.write(socket, refused.contains(socket) ? refusal : "");
			RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
		})) {
			HttpEndpointClient client = HttpEndpointClient.create("http://" + backEnd.address(), "m", this.eventLoop);
			for (String id : List.of("r0", "r1")) {
				StageCall next = call(StageType.SERVICE, List.of()).withAttempt(new AttemptId(new RequestId(id), 1, 2));
				TestSubscriber<EndpointEvent> subscriber = client.call(next, Duration.ofSeconds(5), 0)
					.test()
					.awaitDone(10, TimeUnit.SECONDS);
				if (id.equals("r1")) {
					subscriber.assertComplete();
				}
			}
		}
	}

	// Guards against events that are delivered before a slow subscriber requests them,
	// are lost while it requests none, or arrive on another thread.
	@Test
	void slowSubscriberReceivesOnlyWhatItRequested() throws Exception {
		this.server.enqueue(new MockResponse().setBody(event("a").repeat(200) + DONE));
		Set<Thread> threads = ConcurrentHashMap.newKeySet();
		TestSubscriber<EndpointEvent> subscriber = client()
			.call(call(StageType.GENERATE, List.of()), Duration.ofSeconds(20), 0)
			.doOnNext((event) -> threads.add(Thread.currentThread()))
			.test(3);
		subscriber.awaitCount(3).assertNotComplete();
		subscriber.request(500);
		subscriber.awaitDone(10, TimeUnit.SECONDS).assertComplete().assertValueCount(201);
		assertThat(threads).containsExactly(this.executor.submit(Thread::currentThread).get());
	}

	// Guards against accepting a document that is not a load report.
	@Test
	void loadReportIsParsed() {
		this.server.enqueue(new MockResponse().setBody("{\"running\":2,\"waiting\":5}"));
		this.server.enqueue(new MockResponse().setBody("{}"));
		client().load().test().awaitDone(10, TimeUnit.SECONDS).assertValue(new Message.LoadReport(2, 5, 0));
		client().load().test().awaitDone(10, TimeUnit.SECONDS).assertError(EndpointException.class);
	}

	private static Arguments failure(String name, StageType type, MockResponse response, boolean effectPossible) {
		return Arguments.of(name, type, response, effectPossible);
	}

	private static MockResponse status(int status) {
		return new MockResponse().setResponseCode(status);
	}

	private static String event(String text) {
		return "data: {\"choices\":[{\"text\":\"" + text + "\"}]}\n\n";
	}

	private static String concatenateContent(List<EndpointEvent> events) {
		StringBuilder content = new StringBuilder();
		for (EndpointEvent event : events) {
			if (event instanceof EndpointEvent.Chunk part) {
				content.append(part.content());
			}
		}
		return content.toString();
	}

	private static List<StageOutput> previousOutputs() {
		return List.of(new StageOutput("encode", "[0.5,1]", 1, 1), new StageOutput("retrieve", "[\"d0\",\"d1\"]", 1, 1),
				new StageOutput("rerank", "[\"d1\",\"d0\"]", 1, 1), new StageOutput("draft", "text", 1, 1));
	}

	private static StageCall call(StageType type, List<StageOutput> previous) {
		return new StageCall("stage", type, "/path", "workspace", "{\"prompt\":\"p\",\"max_tokens\":7}", previous,
				Optional.of("key"))
			.withAttempt(new AttemptId(new RequestId("r1"), 1, 2));
	}

	private HttpEndpointClient client() {
		return HttpEndpointClient.create("http://127.0.0.1:" + this.server.getPort(), "m", this.eventLoop);
	}

	private TestSubscriber<EndpointEvent> runCall(StageCall call) {
		return client().call(call, Duration.ofMillis(1_500), 3).test().awaitDone(20, TimeUnit.SECONDS);
	}

}
