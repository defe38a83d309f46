package org.magnoliahub.entry;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.serving.StoreEra;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer with a status outside the protocol that reaches the caller, or
 * for which the caller waits until its timeout although nothing else will arrive.
 */
class MalformedStatusTests {

	/** Complete on streaming routes, too. */
	private static final String BODY = EntryFixture.event(1);

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

	private static CallerAnswer send(String target, RawServer.Handler handler) throws IOException {
		return handlers.send(target, handler);
	}

	private static String response(RawServer.Request request, String status) {
		return EntryFixture.signedResponse(request, BODY).replace("200 OK", status);
	}

	/** The route would answer 504 at its timeout. */
	@ParameterizedTest
	@ValueSource(strings = { "000 X", "000", "001 X", "099 X", "99 X", "20 X", "0200 X", "2000 X", "600 X", "999 X",
			"+20 X", "-20 X", "20x X", "101 Switching Protocols", "\u0662\u0660\u0660 X" })
	void orderIsAnsweredAtOnceWithoutTheStatus(String status) throws Exception {
		CallerAnswer answer = send("/order/1", (request, socket) -> RawServer.write(socket, response(request, status)));
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.signature()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "000 X", "600 X", "101 Switching Protocols" })
	void connectionIsNotUsedAgain(String status) throws Exception {
		CompletableFuture<Integer> end = new CompletableFuture<>();
		send("/order/1", (request, socket) -> {
			RawServer.write(socket, response(request, status));
			end.complete(socket.getInputStream().read());
			socket.close();
		});
		assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo(-1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000 X", "600 X", "999 X", "101 Switching Protocols" })
	void retryableRequestsAreSentToAnotherEndpoint(String status) throws Exception {
		for (String target : new String[] { "/look/1", "/draft/1" }) {
			AtomicInteger attempts = new AtomicInteger();
			CallerAnswer answer = send(target, (request, socket) -> {
				boolean first = attempts.incrementAndGet() == 1;
				RawServer.write(socket, response(request, first ? status : "200 OK"));
			});
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo(BODY);
			assertThat(attempts).hasValue(2);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "000 X", "600 X", "999 X" })
	void streamWithoutResumptionIsAnsweredAtOnce(String status) throws Exception {
		CallerAnswer answer = send("/once/1", (request, socket) -> RawServer.write(socket, response(request, status)));
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.signature()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "200 OK", "299 X", "304 X", "404 X", "409 X", "500 X", "599 X", "200" })
	void otherStatusesArePassedOn(String status) throws Exception {
		CallerAnswer answer = send("/order/1", (request, socket) -> {
			String text = response(request, status);
			RawServer.write(socket, status.startsWith("304")
					? text.replace(BODY, "").replace("Content-Length: " + BODY.length(), "Content-Length: 0") : text);
		});
		assertThat(answer.status()).isEqualTo(Integer.parseInt(status.substring(0, 3)));
		assertThat(answer.signature()).isEqualTo("s");
	}

	@Test
	void interimStatusesAreSkipped() throws Exception {
		CallerAnswer answer = send("/order/1", (request, socket) -> RawServer.write(socket,
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + response(request, "200 OK")));
		assertThat(answer.status()).isEqualTo(200);
		assertThat(answer.body()).isEqualTo(BODY);
	}

	@ParameterizedTest
	@ValueSource(strings = { "000 X", "101 X", "600 X", "0200 OK", "+20 X" })
	void storeCallFailsAtOnce(String status) throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		EventLoopTimers timers = new EventLoopTimers(group.next(), (failure) -> {
		});
		try (RawServer server = RawServer
			.start((request, socket) -> RawServer.write(socket, response(request, status)))) {
			StoreClient client = new StoreClient(new HttpClient(group, timers), timers, new EntryMetrics(),
					server.address(), new StoreEra(), (fault) -> {
					});
			CompletableFuture<String> outcome = new CompletableFuture<>();
			group.execute(() -> client.get("/rows", 5_000, new StoreCalls.Handler() {

				@Override
				public void onResponse(int code, byte[] body) {
					outcome.complete("status " + code);
				}

				@Override
				public void onFailure(String reason) {
					outcome.complete(reason);
				}

			}));
			assertThat(outcome.get(10, TimeUnit.SECONDS)).startsWith("malformed answer");
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

}
