package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies without end that exhaust the memory together, although each one
 * is within its limit, and cost other callers their requests.
 */
class BodyMemoryLimitTests {

	private static final int RESPONSE_LIMIT = 1_000_000;

	private static final int REQUEST_LIMIT = 30_000;

	/** Within the limit on one response. */
	private static final int ENDLESS_PART = 300_000;

	private static final int ENDLESS_REQUESTS = 12;

	private static final int SOUND_RESPONSE = 250_000;

	/** Within the limit of the configuration on one request. */
	private static final int UPLOAD = 18_000;

	private final CountDownLatch mayEnd = new CountDownLatch(1);

	private final AtomicInteger started = new AtomicInteger();

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start(REQUEST_LIMIT, RESPONSE_LIMIT);
	}

	@AfterEach
	void stop() throws IOException {
		this.mayEnd.countDown();
		this.fixture.close();
	}

	private void awaitEnd() {
		try {
			this.mayEnd.await(20, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void sendBodyWithoutEnd(RawServer.Request request, Socket socket) throws IOException {
		RawServer.write(socket, EntryFixture.signedResponse(request, "").replace("Length: 0", "Length: 3000000")
				+ "x".repeat(ENDLESS_PART));
		this.started.incrementAndGet();
		awaitEnd();
	}

	private CompletableFuture<CallerAnswer> sendLong(int index) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return this.fixture.send("POST", "/long/1", "r" + index);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}, (task) -> new Thread(task).start());
	}

	@Test
	void endlessResponsesAreGivenUpBeforeTheyExhaustTheMemory() throws Exception {
		this.fixture.addEndpoint("long-1", "long", this::sendBodyWithoutEnd);
		this.fixture.addEndpoint("plain-1", "plain", (request, socket) -> RawServer.write(socket,
				EntryFixture.signedResponse(request, "y".repeat(SOUND_RESPONSE))));
		this.fixture.awaitEndpoints();
		List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
		for (int index = 0; index < ENDLESS_REQUESTS; index++) {
			answers.add(sendLong(index));
		}
		int kept = RESPONSE_LIMIT / ENDLESS_PART;
		Awaitility.await()
			.until(() -> answers.stream().filter(CompletableFuture::isDone).count() >= ENDLESS_REQUESTS - kept);
		// Requests that an endpoint has got are not reported as not executed.
		answers.stream()
			.filter(CompletableFuture::isDone)
			.forEach((answer) -> assertThat(answer.join().status()).isEqualTo(502));
		CallerAnswer sound = this.fixture.send("POST", "/order/1", "r99");
		assertThat(sound.status()).isEqualTo(200);
		assertThat(sound.body()).hasSize(SOUND_RESPONSE);
	}

	private Socket upload(String id, int bytes) throws IOException {
		Socket socket = this.fixture.connect(0);
		RawServer.write(socket,
				EntryFixture.request("POST", "/long/1", id)
					.replace("Content-Length: 2\r\n\r\nhi", "Content-Length: " + (UPLOAD + 1) + "\r\n\r\n")
						+ "z".repeat(bytes));
		return socket;
	}

	private static CallerAnswer read(Socket socket) throws IOException {
		return CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
	}

	@Test
	void uploadWithoutRoomIsRefusedAndRequestInProgressIsKept() throws Exception {
		this.fixture.addEndpoint("long-1", "long", (request, socket) -> {
			this.started.incrementAndGet();
			awaitEnd();
			RawServer.write(socket, EntryFixture.signedResponse(request, "done"));
		});
		this.fixture.awaitEndpoints();
		try (Socket inProgress = upload("r1", UPLOAD + 1)) {
			Awaitility.await().until(() -> this.started.get() == 1);
			try (Socket incomplete = upload("r2", UPLOAD)) {
				CallerAnswer refusal = read(incomplete);
				assertThat(refusal.status()).isEqualTo(503);
				assertThat(refusal.requestId()).isEqualTo("r2");
				assertThat(refusal.headers().get("retry-after")).isEqualTo("1.0");
			}
			this.mayEnd.countDown();
			assertThat(read(inProgress).body()).isEqualTo("done");
		}
		// The room of both is free again.
		try (Socket next = upload("r3", UPLOAD + 1)) {
			assertThat(read(next).body()).isEqualTo("done");
		}
	}

}
