package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.PartialAnswerServer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.serving.StoreEra;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer without a length that its server resets while the request is
 * still being written, and that reaches the caller as complete.
 */
class ResetDuringUploadTests {

	private static final String COMPLETE = "complete";

	private static final String FAILED = "failed";

	private static final String PART = "half of the answer";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n";

	/** Larger than the buffers of a connection. */
	private static final int UNREAD_BODY_BYTES = 64 * 1_048_576;

	private static final int UPLOAD_BYTES = 4_000_000;

	private static final int MAXIMUM_REQUEST_BYTES = 4_194_304;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoopTimers timers = new EventLoopTimers(this.group.next(), (failure) -> {
	});

	private final HttpClient client = new HttpClient(this.group, this.timers);

	private @Nullable EntryFixture fixture;

	private final List<PartialAnswerServer> servers = new ArrayList<>();

	@AfterEach
	void stop() throws IOException {
		if (this.fixture != null) {
			this.fixture.close();
		}
		for (PartialAnswerServer server : this.servers) {
			server.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static HttpCall call(String address, byte[] body) {
		return new HttpCall(address, "group", HttpMethod.POST, "/", new DefaultHttpHeaders(false), body, 1_000, 1_000,
				UNREAD_BODY_BYTES, "r1", EndpointInterceptor.NONE);
	}

	/** Opens a connection without a socket, with a request whose answer has begun. */
	private EmbeddedChannel beginAnswer(RecordingListener listener, String... answers) {
		HttpCall call = call("127.0.0.1:1", new byte[2]);
		HttpConnection connection = new HttpConnection(this.client, call.connectionKey(), this.timers);
		EmbeddedChannel channel = new EmbeddedChannel();
		connection.install(channel);
		connection.start(new HttpExchange(call, listener));
		for (String answer : answers) {
			channel.writeInbound(Unpooled.copiedBuffer(answer, StandardCharsets.UTF_8));
		}
		return channel;
	}

	/** A failed write closes the channel without an event that names the failure. */
	@Test
	void answerIsNotCompleteIfTheChannelClosesWithoutTheEndOfItsInput() {
		RecordingListener listener = new RecordingListener();
		beginAnswer(listener, HEAD + PART).close();
		assertThat(listener.outcome).isCompletedWithValue(FAILED);
	}

	@Test
	void answerIsCompleteAtTheEndOfTheInput() {
		RecordingListener listener = new RecordingListener();
		EmbeddedChannel channel = beginAnswer(listener, HEAD + PART);
		channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		assertThat(listener.outcome).isCompletedWithValue(COMPLETE);
		assertThat(channel.isOpen()).isFalse();
	}

	/** Guards against an answer to an earlier request whose end counts for this one. */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void endOfASkippedAnswerIsNoAnswer(boolean inputEnds) {
		RecordingListener listener = new RecordingListener();
		EmbeddedChannel channel = beginAnswer(listener, HEAD.replace("r1", "r0") + PART);
		if (inputEnds) {
			channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		}
		channel.close();
		assertThat(listener.outcome).isCompletedWithValue(FAILED);
	}

	@Test
	void idleConnectionIsClosedAtTheEndOfItsInput() {
		RecordingListener listener = new RecordingListener();
		EmbeddedChannel channel = beginAnswer(listener,
				HEAD.replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\n") + "1");
		assertThat(listener.outcome).isCompletedWithValue(COMPLETE);
		assertThat(channel.isOpen()).isTrue();
		channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		assertThat(channel.isOpen()).isFalse();
	}

	/**
	 * The server resets the connection once the client has read the part, while most of
	 * the request waits to be written.
	 */
	@ParameterizedTest
	@ValueSource(strings = { PART, "" })
	void answerThatIsResetWhileTheRequestIsWrittenFails(String part) throws Exception {
		RecordingListener listener = new RecordingListener();
		PartialAnswerServer server = start(200, "text/plain", part,
				part.isEmpty() ? listener.headRead : listener.bodyRead);
		this.group.execute(() -> this.client.send(call(server.address(), new byte[UNREAD_BODY_BYTES]), listener));
		assertThat(listener.outcome.get(10, TimeUnit.SECONDS)).isEqualTo(FAILED);
	}

	/** The server ends its output properly, without having read the request. */
	@Test
	void answerThatEndsWhileTheRequestIsWrittenIsComplete() throws Exception {
		RecordingListener listener = new RecordingListener();
		PartialAnswerServer server = start(200, "text/plain", PART, null);
		this.group.execute(() -> this.client.send(call(server.address(), new byte[UNREAD_BODY_BYTES]), listener));
		assertThat(listener.outcome.get(10, TimeUnit.SECONDS)).isEqualTo(COMPLETE);
	}

	private PartialAnswerServer start(int status, String contentType, String part,
			@Nullable CompletableFuture<Void> reset) throws IOException {
		PartialAnswerServer server = PartialAnswerServer.start(status, contentType, part, reset);
		this.servers.add(server);
		return server;
	}

	/** Starts a gateway that accepts long bodies, in front of such endpoints. */
	private EntryFixture startGateway(String service, PartialAnswerServer... endpoints) throws Exception {
		EntryFixture started = EntryFixture.start();
		this.fixture = started;
		started.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(2, List.of())
					.replace("\"max_body_bytes\":20000", "\"max_body_bytes\":" + MAXIMUM_REQUEST_BYTES));
		for (int index = 0; index < endpoints.length; index++) {
			started.listEndpoint("e-" + index, service, endpoints[index].address(), "ready");
		}
		started.awaitEndpoints();
		return started;
	}

	private static void upload(Socket socket, String target) throws IOException {
		String head = EntryFixture.request("POST", target, "r1");
		RawServer.write(socket, head.replace("Content-Length: 2\r\n\r\nhi",
				"Content-Length: " + UPLOAD_BYTES + "\r\n\r\n" + "u".repeat(UPLOAD_BYTES)));
	}

	@ParameterizedTest
	@CsvSource({ "/order/1,200", "/order/1,404", "/order/1,500", "/look/1,200", "/look/1,404" })
	void callerGetsNoPartOfAPlainAnswer(String target, int status) throws Exception {
		CompletableFuture<Void> reset = new CompletableFuture<>();
		PartialAnswerServer server = start(status, "text/plain", PART, reset);
		EntryFixture gateway = startGateway("plain", server);
		try (Socket socket = gateway.connect(0)) {
			upload(socket, target);
			server.awaitAnswer();
			// The gateway relays plain answers when they are complete, so nothing shows
			// that it has read the part.
			EntryFixture.pause(200);
			reset.complete(null);
			CallerAnswer answer = CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
			assertThat(answer.status()).isEqualTo(502);
			assertThat(answer.signature()).isEmpty();
		}
	}

	/** The endpoint that gets the request first breaks its answer off. */
	@Test
	void idempotentRequestIsSentToAnotherEndpoint() throws Exception {
		CompletableFuture<Void> reset = new CompletableFuture<>();
		AtomicInteger parts = new AtomicInteger(1);
		PartialAnswerServer[] both = { start(200, "text/plain", PART, reset), start(200, "text/plain", PART, reset) };
		both[0].limitParts(parts);
		both[1].limitParts(parts);
		EntryFixture gateway = startGateway("plain", both);
		try (Socket socket = gateway.connect(0)) {
			upload(socket, "/look/1");
			Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> parts.get() == 0);
			EntryFixture.pause(200);
			reset.complete(null);
			CallerAnswer answer = CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo(PART);
			assertThat(parts.get()).isNegative();
		}
	}

	/** Guards against a write that counts as done because of an answer that was reset. */
	@Test
	void writeToTheStoreFails() throws Exception {
		PartialAnswerServer server = start(200, "text/plain", PART, CompletableFuture.completedFuture(null));
		StoreClient store = new StoreClient(this.client, this.timers, new EntryMetrics(), server.address(),
				new StoreEra(), (fault) -> {
				});
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.group
			.execute(() -> store.put("/objects/a", new byte[UNREAD_BODY_BYTES], false, 5_000, new StoreCalls.Handler() {

				@Override
				public void onResponse(int status, byte[] body) {
					outcome.complete(COMPLETE);
				}

				@Override
				public void onFailure(String reason) {
					outcome.complete(FAILED);
				}

			}));
		assertThat(outcome.get(10, TimeUnit.SECONDS)).isEqualTo(FAILED);
	}

	@Test
	void streamIsNotFramedAsComplete() throws Exception {
		CompletableFuture<Void> reset = new CompletableFuture<>();
		PartialAnswerServer server = start(200, "text/event-stream", EntryFixture.event(1), reset);
		EntryFixture gateway = startGateway("model", server);
		try (Socket socket = gateway.connect(0)) {
			upload(socket, "/once/1");
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			input.mark(1);
			input.read();
			input.reset();
			reset.complete(null);
			CallerAnswer answer = CallerAnswer.read(input);
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.complete()).isFalse();
		}
	}

	/** Records how a response ended. */
	private static final class RecordingListener implements ResponseListener {

		private final CompletableFuture<Void> headRead = new CompletableFuture<>();

		private final CompletableFuture<Void> bodyRead = new CompletableFuture<>();

		private final CompletableFuture<String> outcome = new CompletableFuture<>();

		@Override
		public void onHead(HttpResponse response, ResponseHead head) {
			this.headRead.complete(null);
		}

		@Override
		public void onBody(ByteBuf data) {
			this.bodyRead.complete(null);
		}

		@Override
		public void onEnd() {
			this.outcome.complete(COMPLETE);
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			this.outcome.complete(FAILED);
		}

	}

}
