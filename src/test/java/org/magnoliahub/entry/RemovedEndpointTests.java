package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to an endpoint whose removal the gateway has read: after a late
 * write of its row, behind stages, and in a retry.
 */
class RemovedEndpointTests {

	/** Shorter than the timeout of a stage call. */
	private static final long LONGEST_HOLD_MILLIS = 600;

	private final List<String> requestedEndpoints = new CopyOnWriteArrayList<>();

	private final CountDownLatch removalRead = new CountDownLatch(1);

	private final CountDownLatch held = new CountDownLatch(1);

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void hold() {
		this.held.countDown();
		try {
			this.removalRead.await(LONGEST_HOLD_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void addPlain(String id) throws IOException {
		this.fixture.addEndpoint(id, "plain", (request, socket) -> {
			this.requestedEndpoints.add(id);
			RawServer.write(socket, EntryFixture.signedResponse(request, id));
		});
	}

	private void addModel(String id) throws IOException {
		this.fixture.addEndpoint(id, "model", (request, socket) -> {
			this.requestedEndpoints.add(id);
			RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n");
		});
	}

	private void write(String id, long sequence) {
		this.fixture.store.put(StoreFormat.ENDPOINT_TABLE, id, EmulatedSettings.endpoint("plain",
				this.fixture.endpointAddress(id), 4, "ready", new EmulatedSettings.Write(1, sequence)));
	}

	private void remove(String id) {
		this.fixture.store.remove(StoreFormat.ENDPOINT_TABLE, id);
		Awaitility.await()
			.atMost(Duration.ofSeconds(3))
			.pollInterval(Duration.ofMillis(5))
			.until(() -> this.fixture.log()
				.contains("\"endpoint\":\"" + id + "\",\"service\":\"\",\"state\":\"gone\""));
	}

	private CompletableFuture<CallerAnswer> sendAsync(String method, String target, String... headers) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return this.fixture.send(method, target, "r1", headers);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	@Test
	void endpointWhoseRowIsWrittenLateGetsNoOrder() throws Exception {
		addPlain("e-1");
		write("e-1", 8);
		this.fixture.awaitEndpoints();
		remove("e-1");
		write("e-1", 6);
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(503);
		assertThat(this.requestedEndpoints).isEmpty();
		assertThat(this.fixture.log()).contains("\"state\":\"outdated\"");
	}

	@Test
	void removalThatIsReadWhileStagesRunCounts() throws Exception {
		StageEmulator stages = new StageEmulator(20, 1);
		this.fixture.addEndpoint("rank-1", "rank", stages.handler());
		this.fixture.addEndpoint("read-1", "read", (request, socket) -> holdAndHandle(stages, request, socket));
		addModel("model-1");
		this.fixture.awaitEndpoints();
		CompletableFuture<CallerAnswer> answer = sendAsync("POST", "/staged/1", "Pieces: 1,1", "Piece-Key: k1");
		assertThat(this.held.await(5, TimeUnit.SECONDS)).isTrue();
		addModel("model-2");
		remove("model-1");
		this.removalRead.countDown();
		assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo(EntryFixture.event(1));
		assertThat(this.requestedEndpoints).containsExactly("model-2");
	}

	private void holdAndHandle(StageEmulator stages, RawServer.Request request, Socket socket) throws IOException {
		hold();
		stages.handler().handle(request, socket);
	}

	@Test
	void removalThatIsReadBeforeARetryCounts() throws Exception {
		this.fixture.addEndpoint("e-1", "plain", (request, socket) -> {
			hold();
			RawServer.write(socket, EntryFixture.notExecutedResponse(request, 503));
		});
		this.fixture.awaitEndpoints();
		CompletableFuture<CallerAnswer> answer = sendAsync("POST", "/order/1");
		assertThat(this.held.await(5, TimeUnit.SECONDS)).isTrue();
		addPlain("e-2");
		addPlain("e-3");
		remove("e-2");
		this.removalRead.countDown();
		assertThat(answer.get(5, TimeUnit.SECONDS).body()).isEqualTo("e-3");
		assertThat(this.requestedEndpoints).containsExactly("e-3");
	}

}
