package org.magnoliahub.entry;

import java.io.BufferedInputStream;
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
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests and pieces that reach an evacuated zone, requests that wait for
 * one, and running work that an evacuation cuts.
 */
class EvacuationTests {

	private final List<String> requested = new CopyOnWriteArrayList<>();

	private final CountDownLatch running = new CountDownLatch(1);

	private final CountDownLatch evacuated = new CountDownLatch(1);

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void addPlain(String id, String zone) throws IOException {
		this.fixture.addEndpoint(id, "plain", zone, (request, socket) -> {
			this.requested.add(id);
			RawServer.write(socket, EntryFixture.signedResponse(request, id));
		});
	}

	private void awaitState(String state) {
		Awaitility.await()
			.atMost(Duration.ofSeconds(3))
			.pollInterval(Duration.ofMillis(5))
			.until(() -> this.fixture.log().contains("\"zone\":\"z1\",\"state\":\"" + state + "\""));
	}

	private void evacuate() {
		this.fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.evacuationKey("z1"), "{}");
		awaitState("evacuated");
	}

	private void awaitEvacuation() {
		this.running.countDown();
		try {
			this.evacuated.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private CompletableFuture<CallerAnswer> sendAsync(String method, String target, String id, String... headers) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return this.fixture.send(method, target, id, headers);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	@Test
	void evacuatedZoneGetsNoRequestUntilItIsReopened() throws Exception {
		addPlain("a", "z1");
		addPlain("b", "z2");
		this.fixture.awaitEndpoints();
		evacuate();
		for (int index = 0; index < 20; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).body()).isEqualTo("b");
		}
		this.fixture.store.remove(StoreFormat.CONFIGURATION_TABLE, StoreFormat.evacuationKey("z1"));
		awaitState("reopened");
		this.fixture.store.remove(StoreFormat.ENDPOINT_TABLE, "b");
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("GET", "/look/1", "last").body()).isEqualTo("a");
	}

	@Test
	void serviceWithoutAnotherZoneRefusesAtOnceAndStreamsThereContinue() throws Exception {
		addPlain("a", "z1");
		this.fixture.addEndpoint("m", "model", "z1", (request, socket) -> {
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			awaitEvacuation();
			RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
		});
		this.fixture.awaitEndpoints();
		CompletableFuture<CallerAnswer> stream = sendAsync("POST", "/once/1", "s1");
		assertThat(this.running.await(5, TimeUnit.SECONDS)).isTrue();
		evacuate();
		try (Socket socket = this.fixture.connect(0)) {
			RawServer.write(socket, EntryFixture.request("POST", "/order/1", "r1"));
			CallerAnswer answer = CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.headers()).containsEntry("retry-after", "2.5");
		}
		this.evacuated.countDown();
		assertThat(stream.get(5, TimeUnit.SECONDS).body()).isEqualTo(EntryFixture.event(1) + EntryFixture.event(2));
		assertThat(this.requested).isEmpty();
		Awaitility.await().until(() -> this.fixture.log().contains("\"reason\":\"evacuated\""));
	}

	@Test
	void queuedPiecesOfAnEvacuatedStageDoNotWaitForTheDeadline() throws Exception {
		StageEmulator stages = new StageEmulator(20, 1);
		this.fixture.addEndpoint("read-1", "read", "z1", (request, socket) -> {
			this.requested.add(request.target());
			awaitEvacuation();
			stages.handler().handle(request, socket);
		});
		this.fixture.addEndpoint("rank-1", "rank", stages.handler());
		this.fixture.addEndpoint("m", "model", "z2", (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
		this.fixture.awaitEndpoints();
		sendAsync("POST", "/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1");
		assertThat(this.running.await(5, TimeUnit.SECONDS)).isTrue();
		CompletableFuture<CallerAnswer> queued = sendAsync("POST", "/staged/1", "r2", "Pieces: 1,1", "Piece-Key: k2");
		Awaitility.await().until(() -> this.fixture.log().contains("\"event\":\"stage_submitted\",\"id\":\"r2\""));
		evacuate();
		assertThat(queued.get(1, TimeUnit.SECONDS).status()).isEqualTo(503);
		assertThat(this.requested).hasSize(1);
		this.evacuated.countDown();
	}

	@Test
	void brokenStreamIsResumedOnlyOutsideTheZone() throws Exception {
		RawServer.Handler broken = (request, socket) -> {
			this.requested.add(request.target());
			RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
			awaitEvacuation();
			socket.close();
		};
		this.fixture.addEndpoint("m-1", "model", "z1", broken);
		this.fixture.awaitEndpoints();
		CompletableFuture<CallerAnswer> stream = sendAsync("POST", "/draft/1", "s1");
		assertThat(this.running.await(5, TimeUnit.SECONDS)).isTrue();
		evacuate();
		this.fixture.addEndpoint("m-2", "model", "z1", broken);
		this.fixture.addEndpoint("m-3", "model", "z2", (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n"));
		this.fixture.awaitEndpoints();
		this.evacuated.countDown();
		assertThat(stream.get(5, TimeUnit.SECONDS).body()).isEqualTo(EntryFixture.event(1) + EntryFixture.event(2));
		assertThat(this.requested).hasSize(1);
	}

	@Test
	void startedGatewayKnowsTheEvacuationBeforeItIsReady() throws Exception {
		addPlain("a", "z1");
		this.fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.evacuationKey("z1"), "{}");
		int second = this.fixture
			.addGateway((settings) -> settings.replace("\"bounds\":{", "\"bounds\":{\"evacuate_ms\":5000,"));
		this.fixture.awaitReady(second);
		assertThat(this.fixture.sendTo(second, "GET", "/look/1", "r1").status()).isEqualTo(503);
		assertThat(this.requested).isEmpty();
	}

}
