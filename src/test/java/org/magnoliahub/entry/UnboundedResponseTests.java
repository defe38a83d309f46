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
 * Guards against servers that send bytes without end: the connection must be closed after
 * a bounded number of bytes, and the request must go on as after any broken answer.
 */
@Execution(ExecutionMode.CONCURRENT)
class UnboundedResponseTests {

	/**
	 * More than a gateway may take, with what the kernel buffers on loopback on top.
	 */
	private static final long MOST_BYTES = 24_000_000;

	private EntryFixture fixture;

	private final AtomicLong mostSent = new AtomicLong();

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicInteger calls = new AtomicInteger();

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void endless(String id, String service, EndlessAnswer kind) throws IOException {
		this.fixture.addEndpoint(id, service, (request, socket) -> pour(request, socket, kind));
	}

	private void pour(RawServer.Request request, Socket socket, EndlessAnswer kind) throws IOException {
		this.calls.incrementAndGet();
		this.open.incrementAndGet();
		try {
			RawServer.write(socket, kind.start(request.header("Request-Id"), "s"));
			byte[] part = kind.part().repeat(64).getBytes(StandardCharsets.ISO_8859_1);
			long sent = 0;
			while (sent < 2 * MOST_BYTES) {
				socket.getOutputStream().write(part);
				sent += part.length;
				this.mostSent.accumulateAndGet(sent, Math::max);
			}
		}
		catch (SocketException ex) {
			// The gateway has closed the connection, as it should.
		}
		finally {
			this.open.decrementAndGet();
		}
	}

	private void assertBounded() {
		Awaitility.await().atMost(Duration.ofSeconds(4)).until(() -> this.open.get() == 0);
		assertThat(this.calls.get()).isPositive();
		assertThat(this.mostSent.get()).isLessThan(MOST_BYTES);
	}

	@ParameterizedTest
	@EnumSource(names = "EVENTS_WITHOUT_END", mode = EnumSource.Mode.EXCLUDE)
	void orderEndsWithoutAPromise(EndlessAnswer kind) throws Exception {
		endless("i-1", "plain", kind);
		this.fixture.awaitEndpoints();
		long begun = System.nanoTime();
		CallerAnswer answer = this.fixture.send("POST", "/order/1", "r1", "Deadline-Ms: 6000");
		assertThat(answer.status()).isEqualTo(502);
		assertThat(Duration.ofNanos(System.nanoTime() - begun)).isLessThan(Duration.ofSeconds(4));
		assertThat(this.calls.get()).isEqualTo(1);
		assertBounded();
	}

	@ParameterizedTest
	@EnumSource(names = "EVENTS_WITHOUT_END", mode = EnumSource.Mode.EXCLUDE)
	void lookupIsRepeatedElsewhereAndTheEndpointIsAvoided(EndlessAnswer kind) throws Exception {
		endless("i-1", "plain", kind);
		this.fixture.addEndpoint("i-2", "plain",
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "sound")));
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 8; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).body()).isEqualTo("sound");
		}
		assertThat(this.calls.get()).isLessThan(4);
		if (this.calls.get() > 0) {
			assertBounded();
		}
	}

	/**
	 * Guards against a body that stays below every limit of bytes and does not end before
	 * the deadline of a request that another endpoint could answer.
	 */
	@Test
	void lookupWhoseBodyTricklesIsRepeatedElsewhere() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			this.calls.incrementAndGet();
			RawServer.write(socket, EndlessAnswer.CHUNKED_BODY.start(request.header("Request-Id"), "s"));
			for (int part = 0; part < 100; part++) {
				RawServer.write(socket, EndlessAnswer.CHUNKED_BODY.part());
				Awaitility.await().pollDelay(Duration.ofMillis(50)).until(() -> true);
			}
		});
		this.fixture.awaitEndpoints();
		// Slower than expected, so that the next request goes to the other endpoint.
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
	void generationGoesToAnotherEngine(EndlessAnswer kind) throws Exception {
		endless("i-1", "model", kind);
		this.fixture.awaitEndpoints();
		this.fixture.addEndpoint("i-2", "model", (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			CallerAnswer answer = this.fixture.send("POST", "/draft/1", "r" + index, "Deadline-Ms: 6000");
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo(EntryFixture.event(1));
		}
		if (this.calls.get() > 0) {
			assertBounded();
		}
	}

	@Test
	void idleConnectionThatSendsBytesIsClosed() throws Exception {
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			RawServer.write(socket, EntryFixture.signedResponse(request, "sound"));
			pour(request, socket, EndlessAnswer.BLANK_LINES);
		});
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("GET", "/look/1", "r1").body()).isEqualTo("sound");
		assertBounded();
	}

	@ParameterizedTest
	@EnumSource(names = "FOREIGN_ANSWER", mode = EnumSource.Mode.EXCLUDE)
	void stageCallIsGivenUp(EndlessAnswer kind) throws Exception {
		endless("st-1", "read", kind);
		endless("st-2", "rank", kind);
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
		this.fixture.awaitEndpoints();
		CallerAnswer answer = this.fixture.send("POST", "/staged/1", "r1", "Deadline-Ms: 5000", "Pieces: 1,1",
				"Piece-Key: k1");
		assertThat(answer.status()).isEqualTo(503);
		assertBounded();
	}

	@ParameterizedTest
	@EnumSource(names = "FOREIGN_ANSWER", mode = EnumSource.Mode.EXCLUDE)
	void storeThatSendsWithoutEndIsLeftAndAskedAgain(EndlessAnswer kind) throws Exception {
		this.fixture.store.setAnswer((request, socket) -> pour(request, socket, kind));
		Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> this.calls.get() > 3);
		this.fixture.store.setAnswer(null);
		assertBounded();
		this.fixture.putConfiguration(2);
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.until(() -> this.fixture.log().contains("\"configuration_adopted\",\"version\":2"));
	}

}
