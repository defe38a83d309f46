package org.magnoliahub.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.CallerAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that crash one endpoint after the other, and against a block
 * that meets sound requests.
 */
class CrashingPromptTests {

	private static final Duration CONTACT = Duration.ofSeconds(3);

	/** Requests that may reach endpoints later than the contact bound after five ends. */
	private static final int TOLERATED = 3;

	private static final int ENGINES = 8;

	private EntryFixture fixture;

	private CrashingEngines engines;

	private int requests;

	private final List<Integer> gateways = new ArrayList<>(List.of(0, 1));

	@BeforeEach
	void start() throws IOException, PlatformFormatException, InterruptedException {
		this.fixture = EntryFixture.start();
		this.fixture.addGateway();
		this.fixture.awaitReady(1);
		this.engines = new CrashingEngines(this.fixture, ENGINES);
		this.fixture.awaitEndpoints();
	}

	@AfterEach
	void stop() throws IOException {
		this.fixture.close();
		this.engines.close();
	}

	private CallerAnswer send(String target, String prompt) throws IOException {
		int number = this.requests++;
		int gateway = this.gateways.get(number % this.gateways.size());
		return this.fixture.sendTo(gateway, "POST", target, "r" + number,
				"Prompt-Prefix: " + prompt + ",own" + number + ":20", "Token-Count: 700,20", "Pieces: 1,1",
				"Piece-Key: k" + number);
	}

	private CallerAnswer sendCrashing() throws IOException {
		return send("/draft/1", "shared:500," + CrashingEngines.PART + ":80,doc" + this.requests % 3 + ":60");
	}

	private CallerAnswer sendSound() throws IOException {
		return send("/draft/1", "shared:500,doc" + this.requests % 3 + ":60");
	}

	private int servedOf(int count) throws IOException {
		int served = 0;
		for (int index = 0; index < count; index++) {
			served += sendSound().complete() ? 1 : 0;
		}
		return served;
	}

	private void crashFiveEngines() throws IOException {
		for (int index = 0; index < 60 && this.engines.crashes() < 5; index++) {
			sendCrashing();
			sendSound();
		}
	}

	@Test
	void requestsWithAPartUnderWhichEndpointsEndReachNoFurtherEndpoint() throws Exception {
		assertThat(servedOf(20)).isEqualTo(20);
		crashFiveEngines();
		Thread.sleep(CONTACT.toMillis());
		int before = this.engines.crashingArrivals();
		int served = 0;
		for (int index = 0; index < 20; index++) {
			sendCrashing();
			served += servedOf(2);
		}
		assertThat(this.engines.crashingArrivals() - before).isLessThanOrEqualTo(TOLERATED);
		assertThat(served).isGreaterThan(36);
	}

	@Test
	void gatewayThatStartsLaterDoesNotSendThem() throws Exception {
		assertThat(servedOf(20)).isEqualTo(20);
		crashFiveEngines();
		int started = this.fixture.addGateway();
		this.fixture.awaitReady(started);
		Thread.sleep(CONTACT.toMillis());
		this.gateways.clear();
		this.gateways.add(started);
		int before = this.engines.crashingArrivals();
		for (int index = 0; index < 10; index++) {
			sendCrashing();
		}
		assertThat(this.engines.crashingArrivals() - before).isLessThanOrEqualTo(TOLERATED);
		assertThat(servedOf(20)).isGreaterThan(18);
	}

	@Test
	void blockedRequestIsRefusedBeforeItsStagesAndNamesTheReasonInTheLog() throws Exception {
		AtomicInteger stageCalls = new AtomicInteger();
		this.fixture.addEndpoint("s-1", "read", (request, socket) -> stageCalls.incrementAndGet());
		this.fixture.awaitEndpoints();
		crashFiveEngines();
		Thread.sleep(CONTACT.toMillis());
		long startedNanos = System.nanoTime();
		CallerAnswer answer = send("/staged/1", CrashingEngines.PART + ":80");
		assertThat(Duration.ofNanos(System.nanoTime() - startedNanos)).isLessThan(Duration.ofMillis(300));
		assertThat(answer.status()).isEqualTo(503);
		assertThat(answer.headers()).containsKey("retry-after");
		assertThat(stageCalls.get()).isZero();
		Awaitility.await().until(() -> this.fixture.log().contains("\"reason\":\"prompt_crashes_endpoints\""));
	}

	@Test
	void endpointsThatEndTogetherDoNotBlockTheirSharedParts() throws Exception {
		assertThat(servedOf(20)).isEqualTo(20);
		this.engines.endAll();
		Awaitility.await().atMost(Duration.ofSeconds(6)).until(() -> sendSound().complete());
		this.fixture.awaitEndpoints();
		assertThat(servedOf(20)).isEqualTo(20);
	}

}
