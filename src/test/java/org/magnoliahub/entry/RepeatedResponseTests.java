package org.magnoliahub.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against endpoints that repeat an earlier response on a kept connection: a
 * request that may run once must not be reported as not executed, or be sent to another
 * endpoint, because of it.
 */
class RepeatedResponseTests {

	private static final String STAGED = "\"resume_streams\":%s,\"sticky\":true,\n\"stages\"";

	private EntryFixture fixture;

	private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private int executions(String id) {
		return this.executions.getOrDefault(id, new AtomicInteger()).get();
	}

	private void recordExecution(RawServer.Request request) {
		this.executions.computeIfAbsent(request.header("Request-Id"), (id) -> new AtomicInteger()).incrementAndGet();
	}

	private void execute(RawServer.Request request, Socket socket) throws IOException {
		recordExecution(request);
		RawServer.write(socket, EntryFixture.signedResponse(request, "for " + request.header("Request-Id")));
	}

	private void executeStream(RawServer.Request request, Socket socket) throws IOException {
		recordExecution(request);
		RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n");
	}

	private void startStagesOfNonRetryableRoute() throws IOException, InterruptedException {
		String configuration = EmulatedSettings.configuration(2, List.of());
		assertThat(configuration).contains(STAGED.formatted(true));
		this.fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				configuration.replace(STAGED.formatted(true), STAGED.formatted(false)));
		StageEmulator stages = new StageEmulator(20, 1);
		this.fixture.addEndpoint("s-1", "read", stages.handler());
		this.fixture.addEndpoint("s-2", "rank", stages.handler());
		this.fixture.awaitEndpoints();
	}

	private CallerAnswer sendStaged(String id) throws IOException {
		return this.fixture.send("POST", "/staged/1", id, "Pieces: 1,1", "Piece-Key: k" + id.substring(1));
	}

	@Test
	void repeatedConflictIsNotTakenForTheResponseAfterRepeatedStages() throws Exception {
		Map<Socket, String> refusals = new ConcurrentHashMap<>();
		AtomicInteger requests = new AtomicInteger();
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> {
			if (requests.incrementAndGet() == 1) {
				refusals.put(socket, EntryFixture.notExecutedResponse(request, 409));
				RawServer.write(socket, refusals.get(socket));
				return;
			}
			RawServer.write(socket, refusals.getOrDefault(socket, ""));
			executeStream(request, socket);
		});
		startStagesOfNonRetryableRoute();
		CallerAnswer response = sendStaged("r1");
		assertThat(executions("r1")).isEqualTo(1);
		assertThat(response.status()).isEqualTo(200);
	}

	private RawServer addMisdirectingServer(String... ids) throws IOException {
		Map<Socket, String> refusals = new ConcurrentHashMap<>();
		Set<String> misdirected = ConcurrentHashMap.newKeySet();
		RawServer server = this.fixture.addEndpoint(ids[0], "plain", (request, socket) -> {
			if (misdirected.add(request.header("Request-Id"))) {
				refusals.put(socket, EntryFixture.notExecutedResponse(request, 421));
				RawServer.write(socket, refusals.get(socket));
				return;
			}
			RawServer.write(socket, refusals.getOrDefault(socket, ""));
			execute(request, socket);
		});
		for (String id : ids) {
			this.fixture.listEndpoint(id, "plain", server.address(), "ready");
		}
		return server;
	}

	@Test
	void repeatedMisdirectionIsNotTakenForTheResponseOfTheNextEndpointAtTheAddress() throws Exception {
		addMisdirectingServer("i-1", "i-2");
		this.fixture.awaitEndpoints();
		CallerAnswer response = this.fixture.send("POST", "/order/1", "r1");
		assertThat(executions("r1")).isEqualTo(1);
		assertThat(response.status()).isEqualTo(200);
	}

	@Test
	void repeatedMisdirectionDoesNotLeadToASecondExecution() throws Exception {
		addMisdirectingServer("i-1", "i-2", "i-3", "i-4", "i-5", "i-6");
		this.fixture.addEndpoint("i-7", "plain", this::execute);
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 4; index++) {
			String id = "r" + index;
			assertThat(this.fixture.send("POST", "/order/1", id).status()).isEqualTo(200);
			assertThat(executions(id)).isEqualTo(1);
		}
	}

	@Test
	void repeatedRefusalIsNotTakenForTheResponseToAnIdThatTheCallerReuses() throws Exception {
		Map<Socket, String> refusals = new ConcurrentHashMap<>();
		AtomicInteger requests = new AtomicInteger();
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			if (requests.incrementAndGet() == 1) {
				refusals.put(socket, EntryFixture.notExecutedResponse(request, 503));
				RawServer.write(socket, refusals.get(socket));
				return;
			}
			RawServer.write(socket, refusals.getOrDefault(socket, ""));
			execute(request, socket);
		});
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("POST", "/order/1", "r1").status()).isEqualTo(503);
		assertThat(executions("r1")).isZero();
		CallerAnswer response = this.fixture.send("POST", "/order/1", "r1");
		assertThat(executions("r1")).isEqualTo(1);
		assertThat(response.status()).isEqualTo(200);
	}

}
