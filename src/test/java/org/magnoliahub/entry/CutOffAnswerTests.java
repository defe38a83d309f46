package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer that its server broke off and that reaches its caller framed
 * as complete, and against a complete answer that is taken for a broken one.
 */
class CutOffAnswerTests {

	private static final String FIRST = EntryFixture.event(1);

	private static final String CUT_EVENT = "id: 2\ndata: pi";

	private static EntryFixture fixture;

	private static RequestHandlers handlers;

	@BeforeAll
	static void start() throws IOException, PlatformFormatException, InterruptedException {
		fixture = EntryFixture.start();
		handlers = RequestHandlers.addEndpoints(fixture, "plain", "model");
	}

	@AfterAll
	static void stop() throws IOException {
		fixture.close();
	}

	/**
	 * Sends a request that its endpoint answers with a handler.
	 */
	private static CallerAnswer send(String target, RawServer.Handler handler) throws IOException {
		return handlers.send(target, handler);
	}

	private static RawServer.Handler stream(Framing framing, String body) {
		return (request, socket) -> framing.write(request, socket, "text/event-stream", body);
	}

	static Stream<Arguments> cutStreams() {
		return Stream.of(Framing.values())
			.flatMap((framing) -> Stream.of(Arguments.of(framing, FIRST + CUT_EVENT), Arguments.of(framing, CUT_EVENT),
					Arguments.of(framing, FIRST + "\uFEFF"), Arguments.of(framing, "\uFEFF"),
					Arguments.of(framing, FIRST + ": part of a comm"), Arguments.of(framing, FIRST + "id: 2\n"),
					Arguments.of(framing, "id: 1\rdata: a\r")));
	}

	@ParameterizedTest
	@MethodSource("cutStreams")
	void streamThatEndsInsideAnEventIsNotFramedAsComplete(Framing framing, String body) throws Exception {
		CallerAnswer answer = send("/once/1", stream(framing, body));
		if (body.startsWith(FIRST)) {
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.complete()).isFalse();
			assertThat(answer.body()).isEqualTo(FIRST);
			return;
		}
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.signature()).isEmpty();
	}

	@Test
	void streamThatEndsWithItsConnectionBeforeAnEventIsNotFramedAsComplete() throws Exception {
		assertThat(send("/once/1", stream(Framing.CONNECTION, "")).status()).isEqualTo(502);
	}

	@ParameterizedTest
	@EnumSource(Framing.class)
	void streamThatEndsInsideAnEventIsResumedAtAnotherEndpoint(Framing framing) throws Exception {
		List<String> resumedAt = new CopyOnWriteArrayList<>();
		RawServer.Handler handler = (request, socket) -> {
			String last = request.header("Last-Event-Id");
			if (last.isEmpty()) {
				framing.write(request, socket, "text/event-stream", FIRST + CUT_EVENT);
				return;
			}
			resumedAt.add(last);
			framing.write(request, socket, "text/event-stream", EntryFixture.event(2));
		};
		CallerAnswer answer = send("/draft/1", handler);
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(FIRST + EntryFixture.event(2));
		assertThat(resumedAt).containsExactly("1");
	}

	@ParameterizedTest
	@EnumSource(Framing.class)
	void resumedStreamThatEndsInsideAnEventIsNotFramedAsComplete(Framing framing) throws Exception {
		RawServer.Handler handler = (request, socket) -> framing.write(request, socket, "text/event-stream",
				request.header("Last-Event-Id").isEmpty() ? FIRST + CUT_EVENT
						: EntryFixture.event(2) + "id: 3\ndata: pi");
		CallerAnswer answer = send("/draft/1", handler);
		assertThat(answer.complete()).isFalse();
		assertThat(answer.body()).isEqualTo(FIRST + EntryFixture.event(2));
	}

	@ParameterizedTest
	@EnumSource(Framing.class)
	void cutStreamOfOlderProtocolVersionIsReset(Framing framing) throws Exception {
		String id = handlers.register(stream(framing, FIRST + CUT_EVENT));
		try (Socket socket = fixture.connect(0)) {
			RawServer.write(socket, EntryFixture.request("POST", "/once/1", id).replace("HTTP/1.1", "HTTP/1.0"));
			assertThat(readToEnd(socket)).endsWith("<reset>").doesNotContain("id: 2");
		}
	}

	static Stream<Arguments> wholeStreams() {
		return Stream.of(Framing.values())
			.flatMap((framing) -> Stream
				.of(FIRST, FIRST + EntryFixture.event(2), FIRST + ": the end\n", FIRST + "\n", FIRST + "retry: 10\r\n",
						"id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "\uFEFF" + FIRST)
				.map((body) -> Arguments.of(framing, body)));
	}

	@ParameterizedTest
	@MethodSource("wholeStreams")
	void streamThatEndsBehindAnEventIsComplete(Framing framing, String body) throws Exception {
		CallerAnswer answer = send("/once/1", stream(framing, body));
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(body);
	}

	@ParameterizedTest
	@EnumSource(Framing.class)
	void answerOfAnotherContentTypeOnAStreamRouteIsComplete(Framing framing) throws Exception {
		String body = "{\"text\":\"one line\"}";
		CallerAnswer answer = send("/once/1",
				(request, socket) -> framing.write(request, socket, "application/json", body));
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo(body);
	}

	@ParameterizedTest
	@ValueSource(strings = { "/look/1", "/order/1" })
	void plainAnswerThatEndsWithItsConnectionIsComplete(String target) throws Exception {
		CallerAnswer answer = send(target,
				(request, socket) -> Framing.CONNECTION.write(request, socket, "text/plain", "all of it"));
		assertThat(answer.status()).isEqualTo(200);
		assertThat(answer.body()).isEqualTo("all of it");
	}

	@Test
	void plainAnswerWithoutLengthThatIsResetIsNotComplete() throws Exception {
		CallerAnswer answer = send("/order/1", (request, socket) -> {
			RawServer.write(socket, Framing.CONNECTION.head(request, "text/plain", 0) + "a part");
			EntryFixture.pause(100);
			RawServer.reset(socket);
		});
		assertThat(answer.status()).isEqualTo(502);
	}

	static Stream<Arguments> cutHeads() {
		return Stream.of("/order/1", "/once/1")
			.flatMap((target) -> Stream.of(Framing.values()).map((framing) -> Arguments.of(target, framing)));
	}

	/** Guards against a head that ends early and is answered as an empty success. */
	@ParameterizedTest
	@MethodSource("cutHeads")
	void answerThatEndsWithinItsHeadIsNeverASuccess(String target, Framing framing) throws Exception {
		AtomicInteger length = new AtomicInteger(1);
		for (int cut = 0; cut < length.get(); cut++) {
			int end = cut;
			CallerAnswer answer = send(target, (request, socket) -> {
				String head = framing.head(request, "text/event-stream", 4);
				length.set(head.length());
				RawServer.write(socket, head.substring(0, end));
				socket.close();
			});
			assertThat(answer.status()).as("cut at %d", cut).isEqualTo(502);
			assertThat(answer.signature()).isEmpty();
		}
		assertThat(length.get()).isGreaterThan(100);
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

	/** Ways in which an answer states its end. */
	enum Framing {

		LENGTH, CHUNKS, CONNECTION;

		String head(RawServer.Request request, String contentType, int length) {
			String end = switch (this) {
				case LENGTH -> "Content-Length: " + length + "\r\n";
				case CHUNKS -> "Transfer-Encoding: chunked\r\n";
				case CONNECTION -> "Connection: close\r\n";
			};
			return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nResponse-Signature: s\r\nContent-Type: " + contentType + "\r\n" + end + "\r\n";
		}

		void write(RawServer.Request request, Socket socket, String contentType, String body) throws IOException {
			int bytes = body.getBytes(StandardCharsets.UTF_8).length;
			String framed = body;
			if (this == CHUNKS) {
				String chunk = body.isEmpty() ? "" : Integer.toHexString(bytes) + "\r\n" + body + "\r\n";
				framed = chunk + "0\r\n\r\n";
			}
			RawServer.write(socket, head(request, contentType, bytes) + framed);
			if (this == CONNECTION) {
				socket.close();
			}
		}

	}

}
