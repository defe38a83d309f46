package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that the end of a planned stop leaves without an answer.
 */
class PlannedStopTests {

	private static final long GRACE_MILLIS = 8_000;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws IOException, PlatformFormatException, InterruptedException {
		this.fixture = EntryFixture.start();
		// Drafts may take longer than the gateway has to stop.
		this.fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(2, List.of()).replace("\"timeout_ms\":5000", "\"timeout_ms\":20000"));
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private Socket send(String target, String id, String... headers) throws IOException {
		Socket socket = this.fixture.connect(0);
		socket.setSoTimeout(12_000);
		RawServer.write(socket, EntryFixture.request("POST", target, id, headers));
		return socket;
	}

	private static CallerAnswer read(Socket socket) throws IOException {
		return CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
	}

	@Test
	void requestsOpenAtTheEndOfTheStopAreAnsweredTruthfully() throws Exception {
		this.fixture.addEndpoint("s-1", "read", (request, socket) -> waitForClose(socket));
		this.fixture.addEndpoint("s-2", "rank", (request, socket) -> waitForClose(socket));
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> {
			if (request.header("Request-Id").equals("r3")) {
				RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			}
			waitForClose(socket);
		});
		this.fixture.awaitEndpoints();
		try (Socket staged = send("/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1");
				Socket sent = send("/once/1", "r2");
				Socket streaming = send("/once/1", "r3")) {
			Thread.sleep(300);
			Thread stopping = new Thread(() -> this.fixture.gateway(0).stop());
			stopping.start();
			CallerAnswer refused = read(staged);
			assertThat(refused.status()).isEqualTo(503);
			assertThat(refused.closes()).isTrue();
			assertThat(refused.headers()).containsKey("retry-after");
			CallerAnswer unknown = read(sent);
			assertThat(unknown.status()).isEqualTo(502);
			assertThat(unknown.closes()).isTrue();
			CallerAnswer cut = read(streaming);
			assertThat(cut.status()).isEqualTo(200);
			assertThat(cut.complete()).isFalse();
			stopping.join(GRACE_MILLIS);
			assertThat(stopping.isAlive()).isFalse();
		}
		assertThat(this.fixture.log()).contains("\"event\":\"request_refused\",\"id\":\"r1\"")
			.contains("\"event\":\"request_failed\",\"id\":\"r2\"")
			.contains("\"event\":\"request_failed\",\"id\":\"r3\"")
			.contains("\"reason\":\"stopping\"")
			.contains("\"event\":\"stopped\",\"open_requests\":0,\"cut_streams\":1");
	}

	@Test
	void blockedEventLoopDoesNotPostponeTheEndOfTheStop() throws Exception {
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> waitForClose(socket));
		this.fixture.awaitEndpoints();
		try (Socket sent = send("/once/1", "r1")) {
			Thread.sleep(300);
			this.fixture.send("GET", "/none/1", "r2");
			this.fixture.pauseLoop(Duration.ofMillis(1_500));
			long began = System.nanoTime();
			this.fixture.gateway(0).stop();
			long millis = Duration.ofNanos(System.nanoTime() - began).toMillis();
			assertThat(this.fixture.log()).contains("\"event\":\"stopped\"");
			assertThat(millis).isLessThan(GRACE_MILLIS);
			assertThat(read(sent).status()).isEqualTo(502);
		}
	}

	@Test
	void requestBehindAStreamThatDidNotAnnounceTheCloseIsAnswered() throws Exception {
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> {
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			EntryFixture.pause(800);
			RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
		});
		this.fixture.awaitEndpoints();
		try (Socket socket = send("/once/1", "r1")) {
			Thread.sleep(300);
			Thread stopping = new Thread(() -> this.fixture.gateway(0).stop());
			stopping.start();
			BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
			CallerAnswer stream = CallerAnswer.read(input);
			assertThat(stream.complete()).isTrue();
			assertThat(stream.closes()).isFalse();
			RawServer.write(socket, EntryFixture.request("GET", "/look/1", "r2"));
			CallerAnswer next = CallerAnswer.read(input);
			assertThat(next.status()).isEqualTo(503);
			assertThat(next.closes()).isTrue();
			stopping.join(GRACE_MILLIS);
			assertThat(stopping.isAlive()).isFalse();
		}
	}

	/** Guards against an order that runs although its answer cannot be given any more. */
	@Test
	void orderThatCannotEndBeforeTheExitIsRefusedAtOnce() throws Exception {
		AtomicInteger runs = new AtomicInteger();
		addSlowEndpoint(2_500, runs);
		for (int index = 0; index < 3; index++) {
			assertThat(this.fixture.send("POST", "/long/1", "w" + index).status()).isEqualTo(200);
		}
		Thread stopping = new Thread(() -> this.fixture.gateway(0).stop());
		try (Socket open = send("/once/1", "r0"); Socket kept = this.fixture.connect(0)) {
			stopping.start();
			Thread.sleep(2_300);
			RawServer.write(kept, EntryFixture.request("POST", "/long/1", "r1").replace("hi", "h"));
			Thread.sleep(2_800);
			RawServer.write(kept, "i");
			CallerAnswer answer = read(kept);
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.closes()).isTrue();
			assertThat(runs.get()).isEqualTo(3);
			open.close();
		}
		stopping.join(GRACE_MILLIS);
	}

	/** Guards against requests late in the grace that are passed on and then cut. */
	@Test
	void ordersThroughoutTheGraceAreAnsweredOrRefusedTruthfully() throws Exception {
		AtomicInteger runs = new AtomicInteger();
		addSlowEndpoint(1_200, runs);
		Thread stopping = new Thread(() -> this.fixture.gateway(0).stop());
		List<Socket> sockets = new ArrayList<>();
		try (Socket open = send("/once/1", "r0")) {
			stopping.start();
			for (int index = 0; index < 13; index++) {
				try {
					sockets.add(send("/long/1", "o" + index));
				}
				catch (ConnectException ex) {
					// The gateway has stopped to listen.
				}
				Thread.sleep(550);
			}
			int answered = 0;
			for (Socket socket : sockets) {
				CallerAnswer answer = read(socket);
				assertThat(answer.complete()).isTrue();
				assertThat(answer.status()).isIn(200, 503);
				answered += (answer.status() == 200) ? 1 : 0;
				socket.close();
			}
			assertThat(runs.get()).isEqualTo(answered).isGreaterThan(4);
		}
		stopping.join(GRACE_MILLIS);
	}

	private void addSlowEndpoint(long millis, AtomicInteger runs) throws IOException, InterruptedException {
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> waitForClose(socket));
		this.fixture.addEndpoint("l-1", "long", (request, socket) -> {
			runs.incrementAndGet();
			EntryFixture.pause(millis);
			RawServer.write(socket, EntryFixture.signedResponse(request, "done"));
		});
		this.fixture.awaitEndpoints();
	}

	private static void waitForClose(Socket socket) throws IOException {
		while (socket.getInputStream().read() >= 0) {
			// Bytes after the request are ignored.
		}
		socket.close();
	}

}
