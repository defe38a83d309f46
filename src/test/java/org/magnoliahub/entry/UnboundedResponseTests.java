package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EndlessAnswer;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against servers whose responses never end. The connection must be closed after a
 * bounded number of bytes, and the request must be handled as after any broken response.
 */
@Execution(ExecutionMode.CONCURRENT)
class UnboundedResponseTests {

	/**
	 * Upper bound on what a gateway may read, plus what the kernel buffers on loopback.
	 */
	private static final long MAXIMUM_SENT_BYTES = 24_000_000;

	private static final int PARTS_AT_ONCE = 64;

	/**
	 * Smallest write. With 64 bytes a write, a server on a busy machine needed longer for
	 * 4 MB than the timeout of the route, so that its timeout ended the request before
	 * the limit of the gateway.
	 */
	private static final int WRITE_BYTES = 4_096;

	private EntryFixture fixture;

	private final AtomicLong maximumSent = new AtomicLong();

	private final AtomicInteger openResponses = new AtomicInteger();

	private final AtomicInteger calls = new AtomicInteger();

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void addEndlessEndpoint(String id, String service, EndlessAnswer kind) throws IOException {
		this.fixture.addEndpoint(id, service, (request, socket) -> sendEndlessly(request, socket, kind));
	}

	private void sendEndlessly(RawServer.Request request, Socket socket, EndlessAnswer kind) throws IOException {
		this.calls.incrementAndGet();
		this.openResponses.incrementAndGet();
		try {
			RawServer.write(socket, kind.start(request.header("Request-Id"), "s"));
			int count = Math.max(PARTS_AT_ONCE, WRITE_BYTES / kind.part().length());
			byte[] part = kind.part().repeat(count).getBytes(StandardCharsets.ISO_8859_1);
			long sent = 0;
			while (sent < 2 * MAXIMUM_SENT_BYTES) {
				socket.getOutputStream().write(part);
				sent += part.length;
				this.maximumSent.accumulateAndGet(sent, Math::max);
			}
		}
		catch (SocketException ex) {
			// Expected: the gateway has closed the connection.
		}
		finally {
			this.openResponses.decrementAndGet();
		}
	}

	private void assertSentBytesBounded() {
		Awaitility.await().atMost(Duration.ofSeconds(4)).until(() -> this.openResponses.get() == 0);
		assertThat(this.calls.get()).isPositive();
		assertThat(this.maximumSent.get()).isLessThan(MAXIMUM_SENT_BYTES);
	}

	@ParameterizedTest
	@EnumSource(names = "EVENTS_WITHOUT_END", mode = EnumSource.Mode.EXCLUDE)
	void nonIdempotentRequestFailsWithoutRetry(EndlessAnswer kind) throws Exception {
		addEndlessEndpoint("i-1", "plain", kind);
		this.fixture.awaitEndpoints();
		long startedNanos = System.nanoTime();
		CallerAnswer response = this.fixture.send("POST", "/order/1", "r1", "Deadline-Ms: 6000");
		assertThat(response.status()).isEqualTo(502);
		assertThat(Duration.ofNanos(System.nanoTime() - startedNanos)).isLessThan(Duration.ofSeconds(4));
		assertThat(this.calls.get()).isEqualTo(1);
		assertSentBytesBounded();
	}

	@ParameterizedTest
	@EnumSource(names = "EVENTS_WITHOUT_END", mode = EnumSource.Mode.EXCLUDE)
	void idempotentRequestIsRetriedAndEndpointIsAvoided(EndlessAnswer kind) throws Exception {
		addEndlessEndpoint("i-1", "plain", kind);
		this.fixture.addEndpoint("i-2", "plain",
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "sound")));
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 8; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).body()).isEqualTo("sound");
		}
		assertThat(this.calls.get()).isLessThan(4);
		if (this.calls.get() > 0) {
			assertSentBytesBounded();
		}
	}

	/**
	 * Guards against a slow body that stays below all size limits but does not end before
	 * the deadline, although another endpoint could respond in time.
	 */
	@Test
	void idempotentRequestWithTricklingBodyIsRetried() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			this.calls.incrementAndGet();
			RawServer.write(socket, EndlessAnswer.CHUNKED_BODY.start(request.header("Request-Id"), "s"));
			for (int part = 0; part < 100; part++) {
				RawServer.write(socket, EndlessAnswer.CHUNKED_BODY.part());
				Awaitility.await().pollDelay(Duration.ofMillis(50)).until(() -> true);
			}
		});
		this.fixture.awaitEndpoints();
		// Slower than expected, so that later requests are sent to the first endpoint.
		this.fixture.addEndpoint("i-2", "plain", (request, socket) -> {
			Awaitility.await().pollDelay(Duration.ofMillis(150)).until(() -> true);
			RawServer.write(socket, EntryFixture.signedResponse(request, "sound"));
		});
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).body()).isEqualTo("sound");
		}
		assertThat(this.calls.get()).isPositive();
	}

	@ParameterizedTest
	@EnumSource
	void streamingRequestIsRetriedAtAnotherEngine(EndlessAnswer kind) throws Exception {
		addEndlessEndpoint("i-1", "model", kind);
		this.fixture.awaitEndpoints();
		this.fixture.addEndpoint("i-2", "model", (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			CallerAnswer response = this.fixture.send("POST", "/draft/1", "r" + index, "Deadline-Ms: 6000");
			assertThat(response.status()).isEqualTo(200);
			assertThat(response.body()).isEqualTo(EntryFixture.event(1));
		}
		if (this.calls.get() > 0) {
			assertSentBytesBounded();
		}
	}

	@Test
	void idleConnectionThatSendsBytesIsClosed() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			RawServer.write(socket, EntryFixture.signedResponse(request, "sound"));
			sendEndlessly(request, socket, EndlessAnswer.BLANK_LINES);
		});
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("GET", "/look/1", "r1").body()).isEqualTo("sound");
		assertSentBytesBounded();
	}

	@ParameterizedTest
	@EnumSource(names = "FOREIGN_ANSWER", mode = EnumSource.Mode.EXCLUDE)
	void stageBatchIsAborted(EndlessAnswer kind) throws Exception {
		addEndlessEndpoint("st-1", "read", kind);
		addEndlessEndpoint("st-2", "rank", kind);
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/staged/1", "r1", "Deadline-Ms: 5000", "Pieces: 1,1",
				"Piece-Key: k1");
		assertThat(response.status()).isEqualTo(503);
		assertSentBytesBounded();
	}

	@ParameterizedTest
	@EnumSource(names = "FOREIGN_ANSWER", mode = EnumSource.Mode.EXCLUDE)
	void storeResponseIsAbortedAndStorePolledAgain(EndlessAnswer kind) throws Exception {
		this.fixture.store.setAnswer((request, socket) -> sendEndlessly(request, socket, kind));
		Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> this.calls.get() > 3);
		this.fixture.store.setAnswer(null);
		assertSentBytesBounded();
		this.fixture.putConfiguration(2);
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.until(() -> this.fixture.log().contains("\"configuration_adopted\",\"version\":2"));
	}

}
