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
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StoreEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs a gateway with a store that is restored from an older backup. Guards against a
 * configuration that reverts to an older version, requests to a draining endpoint, a
 * member row and records that stay lost, and an invalid era that is accepted.
 */
class StoreRollbackTests {

	/** Time after its start in which a gateway is excused. */
	private static final long CONTACT_MILLIS = 3_000;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void addHealthyEndpoint(String id) throws IOException {
		this.fixture.addEndpoint(id, "plain",
				(request, socket) -> RawServer.write(socket, EntryFixture.signedResponse(request, "answer of " + id)));
	}

	private void rollBack(long backupAgeMillis) {
		long era = this.fixture.store.era();
		this.fixture.store.rollBack(backupAgeMillis);
		Awaitility.await()
			.atMost(Duration.ofSeconds(6))
			.until(() -> this.fixture.log()
				.contains("\"event\":\"store_era_changed\",\"previous\":" + era + ",\"era\":" + (era + 1)));
	}

	@Test
	void configurationIsKeptAndTheNextOneIsAdopted() throws Exception {
		addHealthyEndpoint("i-1");
		this.fixture.awaitEndpoints();
		Thread.sleep(600);
		this.fixture.putConfigurationWithoutRoute(5, "look");
		Awaitility.await()
			.atMost(Duration.ofSeconds(4))
			.until(() -> this.fixture.send("GET", "/look/1", "r").status() == 404);
		rollBack(500);
		Thread.sleep(400);
		assertThat(this.fixture.send("GET", "/look/1", "r2").status()).isEqualTo(404);
		assertThat(this.fixture.send("GET", "/gone/1", "r3").status()).isEqualTo(200);
		this.fixture.putConfiguration(8);
		Awaitility.await()
			.atMost(Duration.ofSeconds(2))
			.until(() -> this.fixture.send("GET", "/look/1", "r4").status() == 200);
	}

	@Test
	void gatewayThatStartsBeforeAnOlderCopyUsesTheNewestConfiguration() throws Exception {
		Thread.sleep(1_500);
		this.fixture.putConfigurationWithoutRoute(5, "look");
		Awaitility.await()
			.atMost(Duration.ofSeconds(4))
			.until(() -> this.fixture.send("GET", "/look/1", "r1").status() == 404);
		rollBack(1_000);
		int started = this.fixture.addGateway();
		this.fixture.awaitReady(started);
		Thread.sleep(CONTACT_MILLIS);
		assertThat(this.fixture.sendTo(started, "GET", "/look/1", "r2").status()).isEqualTo(404);
		assertThat(this.fixture.log()).contains("\"event\":\"configuration_adopted\",\"version\":5,\"previous\":1");
	}

	@Test
	void restoredRecordDoesNotMakeDrainingEndpointAvailable() throws Exception {
		addHealthyEndpoint("i-1");
		addHealthyEndpoint("i-2");
		this.fixture.awaitEndpoints();
		Thread.sleep(1_000);
		String address = this.fixture.endpointAddress("i-1");
		this.fixture.store.put(StoreFormat.ENDPOINT_TABLE, "i-1",
				EmulatedSettings.endpoint("plain", address, 4, "draining", new EmulatedSettings.Write(1, 2)));
		this.fixture.awaitEndpoints();
		rollBack(2_000);
		for (int index = 0; index < 10; index++) {
			assertThat(this.fixture.send("GET", "/look/1", "r" + index).body()).isEqualTo("answer of i-2");
		}
	}

	@Test
	void endpointMissingFromTheBackupStaysAvailable() throws Exception {
		Thread.sleep(1_500);
		addHealthyEndpoint("i-1");
		this.fixture.awaitEndpoints();
		rollBack(1_600);
		assertThat(this.fixture.store.count(StoreFormat.ENDPOINT_TABLE)).isZero();
		assertThat(this.fixture.send("GET", "/look/1", "r1").status()).isEqualTo(200);
		this.fixture.listEndpoint("i-1", "plain", this.fixture.endpointAddress("i-1"), "ready");
		Thread.sleep(2_500);
		assertThat(this.fixture.send("GET", "/look/1", "r2").status()).isEqualTo(200);
	}

	@Test
	void memberRowIsRewrittenAndTheRestorationIsLogged() throws Exception {
		Awaitility.await().until(() -> this.fixture.store.count(StoreFormat.MEMBER_TABLE) == 1);
		this.fixture.store.rollBack(60_000);
		this.fixture.putConfiguration(2);
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.until(() -> this.fixture.store.count(StoreFormat.MEMBER_TABLE) == 1);
		Awaitility.await()
			.atMost(Duration.ofSeconds(10))
			.until(() -> this.fixture.log().contains("\"event\":\"store_restored\",\"previous\":1,\"era\":2"));
		assertThat(this.fixture.log()).contains("\"own_row\":\"written\"");
	}

	@Test
	void lostRecordsAreRewritten() throws Exception {
		addHealthyEndpoint("i-1");
		this.fixture.awaitEndpoints();
		this.fixture.send("GET", "/look/1", "r1");
		Awaitility.await().atMost(Duration.ofSeconds(6)).until(() -> this.fixture.store.objectCount() > 0);
		int before = this.fixture.store.objectCount();
		this.fixture.store.rollBack(60_000);
		assertThat(this.fixture.store.objectCount()).isZero();
		Awaitility.await().atMost(Duration.ofSeconds(6)).until(() -> this.fixture.store.objectCount() >= before);
	}

	@ParameterizedTest
	@ValueSource(strings = { "none", "0", "-4", "many" })
	void invalidEraIsLoggedAndIsNoRestoration(String era) throws Exception {
		this.fixture.store.setAnswer((request, socket) -> RawServer.write(socket,
				"HTTP/1.1 503 X\r\nStore-Era: " + era + "\r\nContent-Length: 0\r\n\r\n"));
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.until(() -> this.fixture.log().contains("\"event\":\"store_era_rejected\""));
		this.fixture.store.setAnswer(null);
		this.fixture.putConfiguration(3);
		Awaitility.await()
			.atMost(Duration.ofSeconds(4))
			.until(() -> this.fixture.log().contains("\"event\":\"configuration_adopted\",\"version\":3"));
		assertThat(this.fixture.log()).doesNotContain("store_era_changed");
	}

	@Test
	void eraIsReadFromErrorResponses() throws Exception {
		this.fixture.store.setMode(StoreEmulator.Mode.BUSY);
		this.fixture.store.rollBack(0);
		Awaitility.await()
			.atMost(Duration.ofSeconds(4))
			.until(() -> this.fixture.log().contains("\"event\":\"store_era_changed\""));
		this.fixture.store.setMode(StoreEmulator.Mode.SOUND);
		Awaitility.await().atMost(Duration.ofSeconds(8)).until(() -> this.fixture.log().contains("\"store_restored\""));
	}

}
