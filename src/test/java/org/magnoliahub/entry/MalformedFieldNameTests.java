package org.magnoliahub.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.serving.ResponseHead;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer with a malformed field name that reaches the caller, with the
 * line passed on or with a body that the malformed field should have framed.
 */
class MalformedFieldNameTests {

	private static final String FAILED = "failed";

	private static final String STATUS = "HTTP/1.1 200 OK\r\n";

	private static final String NAMED = "Request-Id: r1\r\nResponse-Signature: s\r\n";

	private static final String CHUNK = "4\r\nbody\r\n";

	/** Complete on streaming routes, too. */
	private static final String EVENT = EntryFixture.event(1);

	private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);

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
		GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static CallerAnswer send(String target, RawServer.Handler handler) throws IOException {
		return handlers.send(target, handler);
	}

	private static String response(RawServer.Request request, String line) {
		return EntryFixture.signedResponse(request, EVENT).replace("Response-Signature", line + "Response-Signature");
	}

	static Stream<String> malformedLines() {
		return Stream.of(" X: 1", "\tX: 1", "X Y: 1", "X\tY: 1", "X : 1", "X\t: 1", "X  : 1", "X Y", "X\u0001Y: 1",
				"\u0001X: 1", "X\u0001: 1", "X\u001fY: 1", "X\u007fY: 1", "X\u000bY: 1", "X\u0000Y: 1", "X\rY: 1",
				"\rX: 1", ": 1", " : 1", "X", "X\u00e9: 1", "X(Y): 1", " Content-Length: 2", "Content-Length : 2",
				"Content Length: 2", "Content-Length\u0001: 2", "Transfer-Encoding : chunked",
				" Transfer-Encoding: chunked", "Connection : close");
	}

	@ParameterizedTest
	@MethodSource("malformedLines")
	void orderIsAnsweredAtOnceWithoutTheAnswer(String line) throws Exception {
		CallerAnswer answer = send("/order/1",
				(request, socket) -> RawServer.write(socket, response(request, line + "\r\n")));
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.signature()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { " X: 1", "X Y: 1", "X : 1", "X\u0001Y: 1", "Content-Length : 2" })
	void requestOnOtherRoutesIsSentToAnotherEndpointOrAnsweredAtOnce(String line) throws Exception {
		for (String target : new String[] { "/look/1", "/draft/1" }) {
			AtomicInteger attempts = new AtomicInteger();
			CallerAnswer answer = send(target, (request, socket) -> RawServer.write(socket,
					response(request, (attempts.incrementAndGet() == 1) ? line + "\r\n" : "")));
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo(EVENT);
			assertThat(attempts).hasValue(2);
		}
		CallerAnswer answer = send("/once/1",
				(request, socket) -> RawServer.write(socket, response(request, line + "\r\n")));
		assertThat(answer.status()).isEqualTo(502);
	}

	/** The only length stands in the malformed field, so the body would never end. */
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length : 4", " Content-Length: 4", "Content Length: 4", "Content-Length\u0001: 4",
			"Transfer-Encoding : chunked" })
	void malformedFieldThatFramesTheBodyIsAnsweredAtOnce(String line) throws Exception {
		CallerAnswer answer = send("/order/1", (request, socket) -> RawServer.write(socket,
				response(request, "").replace("Content-Length: " + EVENT.length(), line)));
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.signature()).isEmpty();
	}

	@ParameterizedTest
	@MethodSource("malformedLines")
	void failureIsNotPassedOnEither(String line) throws Exception {
		CallerAnswer answer = send("/order/1", (request, socket) -> RawServer.write(socket,
				response(request, line + "\r\n").replace("200 OK", "404 X")));
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.signature()).isEmpty();
	}

	static Stream<String> malformedResponses() {
		String sized = "Content-Length: 4\r\n\r\nbody";
		String chunked = STATUS + NAMED + "Transfer-Encoding: chunked\r\n\r\n" + CHUNK;
		String skipped = (STATUS + NAMED + sized).replace("r1", "r0");
		return malformedLines().map((line) -> line + "\r\n")
			.flatMap((line) -> Stream.of(STATUS + line + NAMED + sized, STATUS + NAMED + line + sized,
					chunked + "0\r\n" + line + "\r\n", chunked + "0\r\nY: 1\r\n" + line + "Z: 1\r\n\r\n",
					"HTTP/1.1 103 X\r\n" + line + "\r\n" + STATUS + NAMED + sized,
					skipped + STATUS + NAMED + line + sized));
	}

	/** Each response arrives at once, in two parts cut at each byte, and byte by byte. */
	@ParameterizedTest
	@MethodSource("malformedResponses")
	void malformedResponseIsNeverComplete(String response) {
		assertThat(outcomes(response)).containsOnly(FAILED);
	}

	static Stream<String> validResponses() {
		String sized = STATUS + NAMED + "Content-Length: 4\r\n\r\nbody";
		String chunked = STATUS + NAMED + "Transfer-Encoding: chunked\r\n\r\n";
		return Stream.of(sized,
				STATUS + "a!#$%&'*+-.^_`|~9: 1\r\n" + NAMED
						+ "X:\r\nY:\t 1 \t\r\nDate: 10:00:00 a b\r\nContent-Length:4\r\n\r\nbody",
				"\r\n" + sized, "HTTP/1.1 103 X\r\nLink: a b\r\n\r\n" + sized,
				sized.replace("r1", "r0").replace("body", "\n :x") + sized, chunked + CHUNK + "0\r\n\r\n",
				chunked + CHUNK + "0\r\nX: 1\r\nY-Z:2: 3 4\r\n\r\n",
				chunked + "2;a=\"b: c\"\r\nbo\r\n2;d=e\r\ndy\r\n0;f=\" g: h\"\r\nX: 1\r\n\r\n");
	}

	@ParameterizedTest
	@MethodSource("validResponses")
	void validResponseIsComplete(String response) {
		assertThat(outcomes(response)).containsOnly("body");
	}

	@ParameterizedTest
	@ValueSource(strings = { "\r\n bad name: 1\r\n: 2\r\n", " : \u0001 " })
	void contentIsNotTakenForFields(String content) {
		String chunk = Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
		assertThat(outcomes(STATUS + NAMED + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n"))
			.containsOnly(content + content);
		assertThat(outcomes(STATUS + NAMED + "Content-Length: " + content.length() + "\r\n\r\n" + content))
			.containsOnly(content);
	}

	private static List<String> outcomes(String response) {
		List<String> outcomes = new ArrayList<>();
		for (int cut = 1; cut <= response.length(); cut++) {
			outcomes.add(outcome(response.substring(0, cut), response.substring(cut)));
		}
		outcomes.add(outcome(response.split("")));
		return outcomes;
	}

	private static String outcome(String... parts) {
		EventLoopTimers timers = new EventLoopTimers(GROUP.next(), (failure) -> {
		});
		HttpCall call = new HttpCall("127.0.0.1:1", "group", HttpMethod.POST, "/", new DefaultHttpHeaders(false),
				new byte[2], 0, 1_000, 1_000, "r1", EndpointInterceptor.NONE);
		HttpConnection connection = new HttpConnection(new HttpClient(GROUP, timers), call.connectionKey(), timers);
		EmbeddedChannel channel = new EmbeddedChannel();
		RecordingListener listener = new RecordingListener();
		connection.install(channel);
		connection.start(new HttpExchange(call, listener));
		for (String part : parts) {
			if (channel.isOpen() && !part.isEmpty()) {
				channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
			}
		}
		String outcome = listener.outcome;
		channel.finishAndReleaseAll();
		return outcome;
	}

	/** Records the body of a complete response, or that it failed. */
	private static final class RecordingListener implements ResponseListener {

		private final StringBuilder body = new StringBuilder();

		private String outcome = "";

		@Override
		public void onHead(HttpResponse response, ResponseHead head) {
		}

		@Override
		public void onBody(ByteBuf data) {
			this.body.append(data.toString(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void onEnd() {
			this.outcome = this.body.toString();
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			this.outcome = FAILED;
		}

	}

}
