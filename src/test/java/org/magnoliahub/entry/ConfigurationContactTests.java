package org.magnoliahub.entry;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.StoreEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a gateway that still answers by an older configuration when it counts as
 * in touch again after its calls to the store were left unanswered.
 */
class ConfigurationContactTests {

	/** Time after a disturbance in which a gateway is excused. */
	private static final long CONTACT_MILLIS = 3_000;

	/** Longer than the gateway needs to begin its next call after an answer. */
	private static final long NEXT_CALL_MILLIS = 300;

	private EntryFixture fixture;

	@BeforeEach
	void start() throws IOException, PlatformFormatException {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
	}

	private void assertNewConfigurationAfterContact() throws Exception {
		this.fixture.putConfigurationWithoutRoute(5, "look");
		Thread.sleep(CONTACT_MILLIS);
		assertThat(this.fixture.send("GET", "/look/1", "r1").status()).isEqualTo(404);
	}

	@Test
	void callThatASilentStoreLeftUnansweredDoesNotDelayTheNextConfiguration() throws Exception {
		this.fixture.store.setMode(StoreEmulator.Mode.SILENT);
		Thread.sleep(NEXT_CALL_MILLIS);
		this.fixture.store.setMode(StoreEmulator.Mode.SOUND);
		assertNewConfigurationAfterContact();
	}

	@Test
	void silentConnectionsDoNotDelayTheNextConfiguration() throws Exception {
		this.fixture.putConfiguration(3);
		Thread.sleep(NEXT_CALL_MILLIS);
		this.fixture.store.silenceConnections();
		assertNewConfigurationAfterContact();
	}

}
