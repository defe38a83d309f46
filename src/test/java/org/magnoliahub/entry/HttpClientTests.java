package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.emulator.LoopbackListener;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.serving.ResponseHead;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bytes that a peer sends in addition to its responses and that are taken
 * for, or damage, the response to the next call on a kept connection. Each call is sent
 * while the end of the previous response is being processed.
 */
class HttpClientTests {

	private static final String FAILED = "failed";

	/** Larger than the buffers of a connection. */
	private static final int UNREAD_BODY_BYTES = 64 * 1_048_576;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final HttpClient client = new HttpClient(this.group, new EventLoopTimers(this.group.next(), (failure) -> {
	}));

	private final List<String> outcomes = Collections.synchronizedList(new ArrayList<>());

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private @Nullable RawServer server;

	@AfterEach
	void stop() throws IOException {
		if (this.server != null) {
			this.server.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static String response(int number, String header) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: r" + number + "\r\n" + header + "Content-Length: 1\r\n\r\n" + number;
	}

	/**
	 * Starts a server that answers the calls in order with the texts, and sends the calls
	 * one after another.
	 */
	private List<String> exchange(boolean named, String... responses) throws IOException {
		AtomicInteger calls = new AtomicInteger();
		RawServer started = RawServer.start((request, socket) -> {
			this.connections.add(socket);
			RawServer.write(socket, responses[calls.getAndIncrement()]);
		});
		this.server = started;
		List<String> ids = new ArrayList<>();
		for (int number = 1; number <= responses.length; number++) {
			ids.add("r" + number);
		}
		Iterator<String> remaining = ids.iterator();
		this.group.execute(() -> sendNext(started.address(), remaining, named));
		Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> this.outcomes.size() == responses.length);
		return this.outcomes;
	}

	private void sendNext(String address, Iterator<String> ids, boolean named) {
		if (!ids.hasNext()) {
			return;
		}
		String id = ids.next();
		HttpHeaders headers = new DefaultHttpHeaders(false);
		headers.set("Request-Id", id);
		HttpCall call = new HttpCall(address, "group", HttpMethod.GET, "/", headers, new byte[0], 1_000, 1_000, 1_000,
				named ? id : null, EndpointInterceptor.NONE);
		this.client.send(call, new RecordingListener(() -> sendNext(address, ids, named)));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void responseInTheSameSegmentIsNotTakenForTheNextOne(boolean named) throws IOException {
		assertThat(exchange(named, response(1, "") + response(1, ""), response(2, ""), response(3, "")))
			.containsExactly("1", "2", "3");
	}

	@Test
	void bytesInTheSameSegmentDoNotDamageTheNextResponse() throws IOException {
		assertThat(exchange(true, response(1, "") + "nonsense", response(2, ""))).containsExactly("1", "2");
	}

	@ParameterizedTest
	@ValueSource(strings = { "Keep-Alive: timeout=0\r\n", "Connection: close\r\n" })
	void headersOfASkippedResponseDoNotApplyToTheConnection(String header) throws IOException {
		assertThat(exchange(true, response(1, ""), response(1, header) + response(2, ""), response(3, "")))
			.containsExactly("1", "2", "3");
		assertThat(this.connections).hasSize(1);
	}

	@ParameterizedTest
	@CsvSource({ "true,1", "false,2" })
	void connectionWithARefusalIsKeptOnlyForNamedRequests(boolean named, int expected) throws IOException {
		String refusal = "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
		assertThat(exchange(named, refusal, response(2, ""))).containsExactly("", "2");
		assertThat(this.connections).hasSize(expected);
	}

	@Test
	void interimResponsesAroundASkippedResponseAreIgnored() throws IOException {
		String interim = "HTTP/1.1 102 Processing\r\nRequest-Id: r2\r\n\r\n";
		assertThat(exchange(true, response(1, ""), interim + response(1, "") + interim + response(2, "")))
			.containsExactly("1", "2");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 15, 17, 30, 33, 40, 52, 54 })
	void responseAfterAPartOfAnEarlierOneIsNotTakenForAnother(int length) throws IOException {
		String part = response(1, "").substring(0, length);
		assertThat(exchange(true, response(1, ""), part + response(2, ""))).containsExactly("1", FAILED);
	}

	@Test
	void responseBeforeTheEndOfTheRequestEndsItsConnection() throws IOException {
		AtomicInteger number = new AtomicInteger();
		try (LoopbackListener listener = LoopbackListener.start((socket) -> {
			this.connections.add(socket);
			respondToStartOfRequest(socket, response(number.incrementAndGet(), ""));
		})) {
			String address = listener.address();
			byte[] longBody = new byte[UNREAD_BODY_BYTES];
			this.group.execute(() -> send(address, "r1", longBody, () -> send(address, "r2", new byte[0], () -> {
			})));
			Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> this.outcomes.size() == 2);
			assertThat(this.outcomes).containsExactly("1", "2");
			assertThat(this.connections).hasSize(2);
		}
	}

	/**
	 * Guards against a request to an endpoint whose zone was evacuated while the
	 * connection was opening, or since it was last used.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void refusedCallIsNotSentOnANewOrKeptConnection(int permittedCalls) throws IOException {
		AtomicInteger received = new AtomicInteger();
		RawServer started = RawServer.start((request, socket) -> {
			received.incrementAndGet();
			RawServer.write(socket, response(1, ""));
		});
		this.server = started;
		EndpointInterceptor interceptor = new EndpointInterceptor() {

			@Override
			public @Nullable String refusalReason() {
				return (received.get() < permittedCalls) ? null : "zone evacuated";
			}

			@Override
			public void onHead(ResponseHead head) {
			}

		};
		HttpCall call = new HttpCall(started.address(), "group", HttpMethod.GET, "/", new DefaultHttpHeaders(false),
				new byte[0], 1_000, 1_000, 1_000, null, interceptor);
		for (int sent = 0; sent <= permittedCalls; sent++) {
			int outcomesAfter = sent + 1;
			this.group.execute(() -> this.client.send(call, new RecordingListener(() -> {
			})));
			Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> this.outcomes.size() == outcomesAfter);
		}
		assertThat(this.outcomes).hasSize(permittedCalls + 1).endsWith(FAILED);
		assertThat(received).hasValue(permittedCalls);
	}

	private static void respondToStartOfRequest(Socket socket, String response) {
		try {
			socket.getInputStream().read();
			RawServer.write(socket, response);
			Thread.sleep(2_000);
			socket.close();
		}
		catch (IOException | InterruptedException ex) {
			// The client has closed the connection, or the test has ended.
		}
	}

	private void send(String address, String id, byte[] body, Runnable next) {
		HttpCall call = new HttpCall(address, "group", HttpMethod.POST, "/", new DefaultHttpHeaders(false), body, 1_000,
				1_000, 1_000, id, EndpointInterceptor.NONE);
		this.client.send(call, new RecordingListener(next));
	}

	private final class RecordingListener implements ResponseListener {

		private final StringBuilder body = new StringBuilder();

		private final Runnable next;

		private RecordingListener(Runnable next) {
			this.next = next;
		}

		@Override
		public void onHead(HttpResponse response, ResponseHead head) {
		}

		@Override
		public void onBody(ByteBuf data) {
			this.body.append(data.toString(StandardCharsets.UTF_8));
		}

		@Override
		public void onEnd() {
			HttpClientTests.this.outcomes.add(this.body.toString());
			this.next.run();
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			HttpClientTests.this.outcomes.add(FAILED);
			this.next.run();
		}

	}

}
