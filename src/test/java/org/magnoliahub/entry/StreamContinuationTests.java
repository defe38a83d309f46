package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that contain anything but the events of their request after the
 * first endpoint broke off.
 */
@Execution(ExecutionMode.CONCURRENT)
class StreamContinuationTests {

	private static final String RELAYED = EntryFixture.event(1) + EntryFixture.event(2);

	/** Idle timeout of callers' connections in the emulated configuration. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(3);

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private final List<String> resumedAt = new CopyOnWriteArrayList<>();

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
				RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(firstEvents)
						+ EntryFixture.chunk("id: 3\nda"));
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
	void incompleteEventAtEndOfContinuedStreamIsRelayed() throws Exception {
		addEndpoints(
				(request, socket) -> RawServer.write(socket, stream(request, EntryFixture.event(3), "id: 4\ndata: x")));
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(RELAYED + EntryFixture.event(3) + "id: 4\ndata: x");
	}

	@Test
	void incompleteEventAtEndOfFirstRunIsRelayed() throws Exception {
		this.fixture.addEndpoint("m-1", "model",
				(request, socket) -> RawServer.write(socket, stream(request, RELAYED, "id: 3\ndata: x")));
		this.fixture.awaitEndpoints();
		CallerAnswer answer = answer();
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(RELAYED + "id: 3\ndata: x");
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

}
