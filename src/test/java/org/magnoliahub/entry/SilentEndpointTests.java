package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses of slow endpoints that are given up although no other endpoint
 * takes the request.
 */
class SilentEndpointTests {

	/** Longer than the response timeout between the events of a stream. */
	private static final long EVENT_PAUSE_MILLIS = 1_500;

	/** Longer than the response timeout of a plain request. */
	private static final long RESPONSE_MILLIS = 900;

	/** Longer than a failure of the other endpoint needs to arrive. */
	private static final long OTHER_RESPONSE_MILLIS = 200;

	/** Larger than a gateway accepts. */
	private static final int OVERSIZED_BODY_BYTES = 5_000_000;

	/** Two endpoints must not work on one stream for longer. */
	private static final long MAXIMUM_OVERLAP_NANOS = Duration.ofMillis(400).toNanos();

	private final AtomicInteger calls = new AtomicInteger();

	private EntryFixture fixture;

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private static void streamWithPause(RawServer.Request request, Socket socket) throws IOException {
		RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
		EntryFixture.pause(EVENT_PAUSE_MILLIS);
		RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
	}

	private static void streamAfterPause(RawServer.Request request, Socket socket) throws IOException {
		EntryFixture.pause(EVENT_PAUSE_MILLIS);
		RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n");
	}

	private static void respondSlowly(RawServer.Request request, Socket socket) throws IOException {
		EntryFixture.pause(RESPONSE_MILLIS);
		RawServer.write(socket, EntryFixture.signedResponse(request, "slow"));
	}

	/**
	 * Adds two endpoints: the one that gets a request first is sound, the other refuses.
	 */
	private void addSoundAndRefusingEndpoint(String service, RawServer.Handler sound) throws Exception {
		RawServer.Handler handler = (request, socket) -> {
			if (this.calls.incrementAndGet() > 1) {
				RawServer.write(socket, EntryFixture.notExecutedResponse(request, 503));
				return;
			}
			sound.handle(request, socket);
		};
		this.fixture.addEndpoint("e-1", service, handler);
		this.fixture.addEndpoint("e-2", service, handler);
		this.fixture.awaitEndpoints();
	}

	private void addSoundEndpoint(String service, RawServer.Handler sound) throws Exception {
		this.fixture.addEndpoint("e-1", service, sound);
		this.fixture.awaitEndpoints();
	}

	private void assertStreamIsComplete(String events) throws IOException {
		CallerAnswer answer = this.fixture.send("POST", "/draft/1", "r1");
		assertThat(answer.body()).isEqualTo(events);
		assertThat(answer.complete()).isTrue();
	}

	private void assertResponseIsRelayed() throws IOException {
		CallerAnswer answer = this.fixture.send("GET", "/look/1", "r1");
		assertThat(answer.status()).isEqualTo(200);
		assertThat(answer.body()).isEqualTo("slow");
	}

	@Test
	void slowStreamOfOnlyEndpointIsNotAborted() throws Exception {
		addSoundEndpoint("model", SilentEndpointTests::streamWithPause);
		assertStreamIsComplete(EntryFixture.event(1) + EntryFixture.event(2));
	}

	@Test
	void slowStreamIsNotAbortedIfOtherEndpointRefuses() throws Exception {
		addSoundAndRefusingEndpoint("model", SilentEndpointTests::streamWithPause);
		assertStreamIsComplete(EntryFixture.event(1) + EntryFixture.event(2));
	}

	@Test
	void lateFirstEventOfOnlyEndpointIsNotGivenUp() throws Exception {
		addSoundEndpoint("model", SilentEndpointTests::streamAfterPause);
		assertStreamIsComplete(EntryFixture.event(1));
	}

	@Test
	void lateFirstEventIsNotGivenUpIfOtherEndpointRefuses() throws Exception {
		addSoundAndRefusingEndpoint("model", SilentEndpointTests::streamAfterPause);
		assertStreamIsComplete(EntryFixture.event(1));
	}

	@Test
	void slowResponseOfOnlyEndpointIsNotGivenUp() throws Exception {
		addSoundEndpoint("plain", SilentEndpointTests::respondSlowly);
		assertResponseIsRelayed();
	}

	@Test
	void slowResponseIsNotGivenUpIfOtherEndpointRefuses() throws Exception {
		addSoundAndRefusingEndpoint("plain", SilentEndpointTests::respondSlowly);
		assertResponseIsRelayed();
	}

	@ParameterizedTest
	@ValueSource(strings = { "404 Not Found", "500 Internal Error", "200 OK" })
	void slowStreamIsNotAbortedIfOtherEndpointDoesNotContinueIt(String statusLine) throws Exception {
		RawServer.Handler handler = (request, socket) -> {
			if (request.header("Last-Event-Id").isEmpty()) {
				streamWithPause(request, socket);
				return;
			}
			RawServer.write(socket, EntryFixture.signedResponse(request, "{}").replace("200 OK", statusLine));
		};
		this.fixture.addEndpoint("e-1", "model", handler);
		this.fixture.addEndpoint("e-2", "model", handler);
		this.fixture.awaitEndpoints();
		assertStreamIsComplete(EntryFixture.event(1) + EntryFixture.event(2));
	}

	@Test
	void silentAttemptIsCancelledOnceOtherEndpointContinuesStream() throws Exception {
		CountDownLatch silentClosed = new CountDownLatch(1);
		this.fixture.addEndpoint("e-1", "model", (request, socket) -> resumeOrHang(request, socket, silentClosed));
		this.fixture.addEndpoint("e-2", "model", (request, socket) -> resumeOrHang(request, socket, silentClosed));
		this.fixture.awaitEndpoints();
		assertStreamIsComplete(EntryFixture.event(1) + EntryFixture.event(2));
		assertThat(silentClosed.await(1, TimeUnit.SECONDS)).isTrue();
	}

	private static void resumeOrHang(RawServer.Request request, Socket socket, CountDownLatch closed)
			throws IOException {
		if (!request.header("Last-Event-Id").isEmpty()) {
			RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
			return;
		}
		RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
		if (socket.getInputStream().read() < 0) {
			closed.countDown();
		}
		socket.close();
	}

	@Test
	void silentAttemptIsCancelledBeforeSlowEndpointsOverlap() throws Exception {
		this.fixture.leaveStateRequestsUnanswered();
		AtomicLong resumedNanos = new AtomicLong();
		AtomicLong closedNanos = new AtomicLong();
		RawServer.Handler handler = (request, socket) -> {
			boolean first = request.header("Last-Event-Id").isEmpty();
			if (first) {
				RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			}
			else {
				resumedNanos.set(System.nanoTime());
			}
			if (socket.getInputStream().read() < 0 && first) {
				closedNanos.set(System.nanoTime());
			}
			socket.close();
		};
		this.fixture.addEndpoint("e-1", "model", handler);
		this.fixture.addEndpoint("e-2", "model", handler);
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/draft/1", "r1", "Deadline-Ms: 2500").complete()).isFalse();
		assertThat(closedNanos.get() - resumedNanos.get()).isBetween(0L, MAXIMUM_OVERLAP_NANOS);
	}

	@Test
	void silentEndpointThatRespondsFirstIsRelayed() throws Exception {
		addEndpointsThatWaitForSecondCall(
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "slow")),
				(request, socket) -> {
					socket.getInputStream().read();
					socket.close();
				});
		assertResponseIsRelayed();
		assertThat(this.calls).hasValue(2);
	}

	@Test
	void failureOfReplacedAttemptDoesNotEndRequest() throws Exception {
		addEndpointsThatWaitForSecondCall((request, socket) -> socket.close(), (request, socket) -> {
			EntryFixture.pause(OTHER_RESPONSE_MILLIS);
			RawServer.write(socket, EntryFixture.signedResponse(request, "slow"));
		});
		assertResponseIsRelayed();
		assertThat(this.calls).hasValue(2);
	}

	@Test
	void oversizedBodyOfReplacedAttemptDoesNotEndRequest() throws Exception {
		CountDownLatch secondCall = new CountDownLatch(1);
		CountDownLatch bodySent = new CountDownLatch(1);
		RawServer.Handler handler = (request, socket) -> {
			if (this.calls.incrementAndGet() > 1) {
				secondCall.countDown();
				await(bodySent);
				RawServer.write(socket, EntryFixture.signedResponse(request, "slow"));
				return;
			}
			String response = EntryFixture.signedResponse(request, "x".repeat(OVERSIZED_BODY_BYTES));
			int headLength = response.length() - OVERSIZED_BODY_BYTES;
			RawServer.write(socket, response.substring(0, headLength));
			await(secondCall);
			try {
				RawServer.write(socket, response.substring(headLength));
			}
			finally {
				bodySent.countDown();
			}
		};
		this.fixture.addEndpoint("e-1", "plain", handler);
		this.fixture.addEndpoint("e-2", "plain", handler);
		this.fixture.awaitEndpoints();
		assertResponseIsRelayed();
		assertThat(this.calls).hasValue(2);
	}

	/**
	 * Adds two endpoints: the one that gets a request first answers once the other one
	 * has got it.
	 */
	private void addEndpointsThatWaitForSecondCall(RawServer.Handler first, RawServer.Handler second) throws Exception {
		CountDownLatch secondCall = new CountDownLatch(1);
		RawServer.Handler handler = (request, socket) -> {
			if (this.calls.incrementAndGet() == 1) {
				await(secondCall);
				first.handle(request, socket);
				return;
			}
			secondCall.countDown();
			second.handle(request, socket);
		};
		this.fixture.addEndpoint("e-1", "plain", handler);
		this.fixture.addEndpoint("e-2", "plain", handler);
		this.fixture.awaitEndpoints();
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
