package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedWork;
import org.magnoliahub.platform.emulator.EndpointEmulator;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.EndpointRun;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.RunObserver;
import org.magnoliahub.platform.emulator.StageEmulator;
import org.magnoliahub.platform.emulator.UnresumedAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that contain anything but the events of their request after the
 * first endpoint broke off.
 */
class StreamContinuationTests {

	private static final String RELAYED = EntryFixture.event(1) + EntryFixture.event(2);

	/** Idle timeout of callers' connections in the emulated configuration. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(3);

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private final List<String> resumedAt = new CopyOnWriteArrayList<>();

	/** Five of these are longer than the time for the first event. */
	private static final long EVENT_INTERVAL_MILLIS = 720;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	/**
	 * Adds two endpoints: the one that gets the request first breaks off within event 3.
	 */
	private void addEndpoints(RawServer.Handler resumed) throws IOException, InterruptedException {
		addEndpoints(RELAYED, resumed);
	}

	private void addEndpoints(String firstEvents, RawServer.Handler resumed) throws IOException, InterruptedException {
		RawServer.Handler handler = (request, socket) -> {
			if (request.header("Last-Event-Id").isEmpty()) {
				RawServer.write(socket,
						EntryFixture.streamHead(request) + bytesChunk(firstEvents) + EntryFixture.chunk("id: 3\nda"));
				socket.close();
				return;
			}
			this.resumedAt.add(request.header("Last-Event-Id"));
			resumed.handle(request, socket);
		};
		this.fixture.addEndpoint("m-1", "model", handler);
		this.fixture.addEndpoint("m-2", "model", handler);
		this.fixture.awaitEndpoints();
	}

	private static String response(RawServer.Request request, String statusLine, String headers, String body) {
		return "HTTP/1.1 " + statusLine + "\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nResponse-Signature: s2\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static String stream(RawServer.Request request, String... parts) {
		StringBuilder text = new StringBuilder(EntryFixture.streamHead(request));
		for (String part : parts) {
			text.append(EntryFixture.chunk(part));
		}
		return text.append(LAST_CHUNK).toString();
	}

	/**
	 * Sends a request for a resumable stream and returns all bytes up to the end of the
	 * connection.
	 */
	private String received(String version, String... headers) throws IOException {
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket,
					EntryFixture.request("POST", "/draft/1", "r1", headers).replace("HTTP/1.1", version));
			return readToEnd(socket);
		}
	}

	private static String readToEnd(Socket socket) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			socket.getInputStream().transferTo(bytes);
		}
		catch (SocketException ex) {
			bytes.writeBytes("<reset>".getBytes(StandardCharsets.UTF_8));
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

	private String received() throws IOException {
		return received("HTTP/1.1", "Connection: close");
	}

	private CallerAnswer answer(String... headers) throws IOException {
		return this.fixture.send("POST", "/draft/1", "r1", headers);
	}

	/**
	 * Asserts that the caller got one head, the relayed events and no end of the stream.
	 */
	private static void assertIncomplete(String received) {
		assertThat(received).startsWith("HTTP/1.1 200 OK\r\n").endsWith("\r\n\r\n" + EntryFixture.chunk(RELAYED));
	}

	@ParameterizedTest
	@ValueSource(strings = { "400 Bad Request", "404 Not Found", "409 Conflict", "302 Found", "500 Internal Error",
			"503 Unavailable", "504 Timeout" })
	void signedErrorOfResumedRunIsNotWrittenIntoStream(String statusLine) throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, response(request, statusLine, "", "no such run")));
		assertIncomplete(received());
		assertThat(this.resumedAt).containsExactly("2");
	}

	@Test
	void signedErrorOfResumedRunClosesKeptConnection() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, response(request, "404 Not Found", "", "no")));
		long startedNanos = System.nanoTime();
		assertIncomplete(received("HTTP/1.1"));
		assertThat(Duration.ofNanos(System.nanoTime() - startedNanos)).isLessThan(IDLE_TIMEOUT);
	}

	@Test
	void responseOfNextRequestIsNotWrittenIntoBrokenStream() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, request.target().equals("/draft/2")
				? stream(request, EntryFixture.event(8)) : response(request, "404 Not Found", "", "no")));
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, EntryFixture.request("POST", "/draft/1", "r1")
					+ EntryFixture.request("POST", "/draft/2", "r2", "Last-Event-Id: 7"));
			assertThat(readToEnd(socket)).doesNotContain("id: 8");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "409 Conflict", "503 Unavailable", "421 Misdirected", "429 Too Many", "400 Bad Request" })
	void refusalOfResumedRunIsNotWrittenIntoStream(String statusLine) throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket,
				response(request, statusLine, "Not-Executed: 1\r\n", "refused")));
		assertIncomplete(received());
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Type: application/json\r\n", "Content-Type: text/plain; charset=utf-8\r\n", "" })
	void successOfAnotherContentTypeIsNotWrittenIntoStream(String contentType) throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket,
				response(request, "200 OK", contentType, "{\"error\":\"no such run\"}")));
		assertIncomplete(received());
	}

	@Test
	void eventsOfAnotherContentTypeAreNotWrittenIntoStream() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket,
				response(request, "200 OK", "Content-Type: application/json\r\n", "id: 3\n\n{}")));
		assertIncomplete(received());
	}

	@Test
	void incompleteEventOfResumedRunIsNotWrittenIntoStream() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket,
				response(request, "200 OK", "Content-Type: text/event-stream\r\n", "no such run")));
		assertIncomplete(received());
	}

	@Test
	void resumedRunWithoutEventDoesNotCompleteStream() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, stream(request)));
		assertIncomplete(received());
	}

	@Test
	void resumedRunWithLengthContinuesStream() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, response(request, "200 OK",
				"Content-Type: Text/Event-Stream; charset=utf-8\r\n", EntryFixture.event(3) + EntryFixture.event(4))));
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(RELAYED + EntryFixture.event(3) + EntryFixture.event(4));
	}

	@Test
	void incompleteEventAtEndOfContinuedStreamIsNotRelayed() throws Exception {
		addEndpoints(
				(request, socket) -> RawServer.write(socket, stream(request, EntryFixture.event(3), "id: 4\ndata: x")));
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isFalse();
		assertThat(answer.body()).isEqualTo(RELAYED + EntryFixture.event(3));
	}

	@Test
	void incompleteEventAtEndOfFirstRunIsNotRelayed() throws Exception {
		this.fixture.addEndpoint("m-1", "model",
				(request, socket) -> RawServer.write(socket, stream(request, RELAYED, "id: 3\ndata: x")));
		this.fixture.awaitEndpoints();
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isFalse();
		assertThat(answer.body()).isEqualTo(RELAYED);
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", "id: 2\ndata: b\n\n",
			"id: x\ndata: c\n\n", "data: c\n\nid: 3\ndata: d\n\n", "id: 3\ndata: c\n\nid: 3\ndata: d\n\n",
			"id: 4\ndata: c\n\nid: 3\ndata: d\n\n", "id: 99999999999999999999\ndata: c\n\n" })
	void eventsThatDoNotFollowLastRelayedEventAreNotWrittenIntoStream(String events) throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, stream(request, events)));
		assertIncomplete(received());
	}

	@ParameterizedTest
	@ValueSource(strings = { "retry: 1000\n\n", ": resumed\n\n", "\r\n", "\uFEFF", "\uFEFF: resumed\n\n" })
	void fieldsBeforeFirstEventOfResumedRunDoNotBreakStream(String fields) throws Exception {
		String event = "id: 3\r\ndata: piece\r\n\r\n";
		addEndpoints((request, socket) -> RawServer.write(socket, EntryFixture.streamHead(request) + bytesChunk(fields)
				+ EntryFixture.chunk(event + EntryFixture.event(4)) + LAST_CHUNK));
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(RELAYED + event + EntryFixture.event(4));
	}

	private static String bytesChunk(String text) {
		return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
	}

	@ParameterizedTest
	@ValueSource(strings = { "data: a\n\ndata: b\n\n", "id: x\ndata: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n" })
	void streamWithoutIdOfLastEventIsNotRunAgain(String events) throws Exception {
		List<String> runs = new CopyOnWriteArrayList<>();
		RawServer.Handler handler = (request, socket) -> {
			runs.add(request.header("Last-Event-Id"));
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(events));
			socket.close();
		};
		this.fixture.addEndpoint("m-1", "model", handler);
		this.fixture.addEndpoint("m-2", "model", handler);
		this.fixture.awaitEndpoints();
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isFalse();
		assertThat(answer.body()).isEqualTo(events);
		assertThat(runs).containsExactly("");
	}

	@Test
	void streamWithByteOrderMarkIsResumed() throws Exception {
		addEndpoints("\uFEFFid: 1\ndata: a\n\n",
				(request, socket) -> RawServer.write(socket, stream(request, EntryFixture.event(2))));
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isTrue();
		assertThat(this.resumedAt).containsExactly("1");
	}

	@Test
	void errorBeforeFirstEventIsRelayedAsResponse() throws Exception {
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> RawServer.write(socket,
				response(request, "404 Not Found", "Content-Type: text/plain\r\n", "no such model")));
		this.fixture.awaitEndpoints();
		CallerAnswer answer = answer();
		assertThat(answer.status()).isEqualTo(404);
		assertThat(answer.signature()).isEqualTo("s2");
		assertThat(answer.body()).isEqualTo("no such model");
	}

	@Test
	void abortedStreamOfOlderProtocolVersionIsReset() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, response(request, "404 Not Found", "", "no")));
		String received = received("HTTP/1.0");
		assertThat(received).endsWith("<reset>").doesNotContain("404");
	}

	@Test
	void streamOfOlderProtocolVersionIsCompleted() throws Exception {
		addEndpoints((request, socket) -> RawServer.write(socket, stream(request, EntryFixture.event(3))));
		assertThat(received("HTTP/1.0")).endsWith("\r\n\r\n" + RELAYED + EntryFixture.event(3));
	}

	@Test
	void streamThatCallerResumesIsResumedBehindLastRelayedEvent() throws Exception {
		RawServer.Handler handler = (request, socket) -> {
			String last = request.header("Last-Event-Id");
			this.resumedAt.add(last);
			if (last.equals("4")) {
				RawServer.write(socket,
						EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(5)) + "5\r\nid:");
				socket.close();
				return;
			}
			RawServer.write(socket, stream(request, EntryFixture.event(6)));
		};
		this.fixture.addEndpoint("m-1", "model", handler);
		this.fixture.addEndpoint("m-2", "model", handler);
		this.fixture.awaitEndpoints();
		CallerAnswer answer = answer("Last-Event-Id: 4");
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(EntryFixture.event(5) + EntryFixture.event(6));
		assertThat(this.resumedAt).containsExactly("4", "5");
	}

	@ParameterizedTest
	@EnumSource(UnresumedAnswer.class)
	void emulatedAnswerThatDoesNotContinueIsNotWrittenIntoStream(UnresumedAnswer kind) throws Exception {
		String id = IntStream.range(0, 1_000)
			.mapToObj((number) -> "r" + number)
			.filter((candidate) -> UnresumedAnswer.of(candidate) == kind && EmulatedWork.eventCount(candidate) > 3)
			.findFirst()
			.orElseThrow();
		int half = EmulatedWork.eventCount(id) / 2;
		try (EndpointEmulator first = EndpointEmulator.start("m-1", 8, new RunIgnorer());
				EndpointEmulator second = EndpointEmulator.start("m-2", 8, new RunIgnorer())) {
			first.setMode(EndpointEmulator.Mode.REJECTS_RESUMED);
			second.setMode(EndpointEmulator.Mode.REJECTS_RESUMED);
			this.fixture.listEndpoint("m-1", "model", first.address(), "ready");
			this.fixture.listEndpoint("m-2", "model", second.address(), "ready");
			this.fixture.awaitEndpoints();
			CallerAnswer answer = this.fixture.send("POST", "/draft/1", id);
			assertThat(answer.complete()).isFalse();
			assertThat(answer.body()).isEqualTo(IntStream.rangeClosed(1, half)
				.mapToObj((number) -> EmulatedWork.event(id, number))
				.collect(Collectors.joining()));
		}
	}

	/** Guards against stages that expire with the time for the first event. */
	@Test
	void streamThatBreaksOffLateRunsItsStagesAgain() throws Exception {
		StageEmulator stages = new StageEmulator(20, 1);
		List<String> stageCalls = new CopyOnWriteArrayList<>();
		RawServer.Handler stage = (request, socket) -> {
			stageCalls.add(request.body());
			stages.handler().handle(request, socket);
		};
		this.fixture.addEndpoint("s-1", "read", stage);
		this.fixture.addEndpoint("s-2", "rank", stage);
		RawServer.Handler engine = (request, socket) -> {
			if (!request.header("Last-Event-Id").isEmpty()) {
				RawServer.write(socket,
						EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(6)) + "0\r\n\r\n");
				return;
			}
			RawServer.write(socket, EntryFixture.streamHead(request));
			for (int number = 1; number <= 5; number++) {
				RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(number)));
				EntryFixture.pause(EVENT_INTERVAL_MILLIS);
			}
			socket.close();
		};
		this.fixture.addEndpoint("m-1", "model", engine);
		this.fixture.addEndpoint("m-2", "model", engine);
		this.fixture.awaitEndpoints();
		CallerAnswer answer = this.fixture.send("POST", "/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1");
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).endsWith(EntryFixture.event(6));
		assertThat(stageCalls).hasSizeGreaterThanOrEqualTo(4).noneMatch((call) -> call.contains("\"remaining_ms\":1,"));
	}

	private static final class RunIgnorer implements RunObserver {

		@Override
		public void arrived(EndpointRequest request) {
		}

		@Override
		public void started(EndpointRun run) {
		}

		@Override
		public void ended(EndpointRun run) {
		}

	}

}
