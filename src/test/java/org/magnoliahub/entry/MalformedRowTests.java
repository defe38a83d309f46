package org.magnoliahub.entry;

import java.io.IOException;
import java.time.Duration;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a gateway that stops following a table of the store, or loses requests,
 * because of a malformed row of another writer.
 */
class MalformedRowTests {

	/** Below the default limit of the parser. */
	private static final int DEPTH = 900;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private static String malformedValue(String kind) {
		return switch (kind) {
			case "nested" -> "[".repeat(DEPTH) + "]".repeat(DEPTH);
			case "large number" ->
				EmulatedSettings.endpoint("plain", "127.0.0.1:9", 4, "ready").replace("4", "9".repeat(900));
			case "port" -> EmulatedSettings.endpoint("plain", "127.0.0.1:99999", 4, "ready");
			case "address" -> EmulatedSettings.endpoint("plain", "999.1.1.1:80", 4, "ready");
			default -> "\u0000\u0001\u00ff";
		};
	}

	private void addHealthyEndpoint(String id) throws IOException {
		this.fixture.addEndpoint(id, "plain",
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "answer of " + id)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "nested", "large number", "port", "address", "bytes" })
	void endpointsAfterAMalformedRowAreFollowed(String kind) throws Exception {
		addHealthyEndpoint("i-1");
		this.fixture.awaitEndpoints();
		this.fixture.store.put(StoreFormat.ENDPOINT_TABLE, "other-1", malformedValue(kind));
		this.fixture.awaitEndpoints();
		addHealthyEndpoint("i-2");
		this.fixture.listEndpoint("i-1", "plain", this.fixture.endpointAddress("i-1"), "draining");
		this.fixture.awaitEndpoints();
		assertThat(this.fixture.send("GET", "/look/1", "r1").body()).isEqualTo("answer of i-2");
		int second = this.fixture.addGateway();
		this.fixture.awaitReady(second);
		assertThat(this.fixture.sendTo(second, "GET", "/look/1", "r2").body()).isEqualTo("answer of i-2");
		Awaitility.await()
			.atMost(Duration.ofSeconds(2))
			.until(() -> this.fixture.log()
				.contains("\"event\":\"row_rejected\",\"table\":\"servers\",\"key\":\"other-1\""));
	}

	@Test
	void configurationsAfterAMalformedRowAreAdopted() throws Exception {
		addHealthyEndpoint("i-1");
		this.fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				malformedValue("nested"));
		this.fixture.awaitEndpoints();
		this.fixture.putConfigurationWithoutRoute(5, "look");
		Awaitility.await()
			.atMost(Duration.ofSeconds(4))
			.until(() -> this.fixture.send("GET", "/gone/1", "r").status() == 200);
		assertThat(this.fixture.log()).contains("configuration_rejected");
	}

	/**
	 * Guards against an id that adds a header to the request, or that leaves the request
	 * without an answer.
	 */
	@Test
	void idThatIsNoHeaderValueIsNotUsed() throws Exception {
		StringBuilder received = new StringBuilder();
		RawServer server = this.fixture.addEndpoint("i-1\r\nSmuggled: yes", "plain", (request, socket) -> {
			received.append(request.header("Smuggled"));
			RawServer.write(socket, EntryFixture.signedResponse(request, "answer"));
		});
		this.fixture.awaitEndpoints();
		assertThat(server.address()).isNotEmpty();
		CallerAnswer answer = this.fixture.send("GET", "/look/1", "r1");
		assertThat(answer.status()).isEqualTo(503);
		assertThat(received).isEmpty();
	}

	@Test
	void malformedMemberRowIsNoGateway() throws Exception {
		this.fixture.store.put(StoreFormat.MEMBER_TABLE, "other-1", "{\"address\":\"999.1.1.1:80\",\"incarnation\":1}");
		this.fixture.store.put(StoreFormat.MEMBER_TABLE, "other-2", malformedValue("nested"));
		int second = this.fixture.addGateway();
		this.fixture.awaitReady(second);
		Awaitility.await()
			.atMost(Duration.ofSeconds(8))
			.until(() -> this.fixture.log().contains("\"member\":\"gateway-1\",\"state\":\"listed\""));
		assertThat(this.fixture.log()).doesNotContain("\"member\":\"other-1\"")
			.doesNotContain("\"member\":\"other-2\"");
	}

}
