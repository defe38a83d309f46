package org.magnoliahub.entry;

import java.time.Duration;
import java.time.Instant;

import io.reactivex.rxjava3.schedulers.Schedulers;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.HostPort;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;
import org.magnoliahub.platform.emulator.StoreEmulator;
import org.magnoliahub.report.RecordReader;
import org.magnoliahub.report.RecordTotals;
import org.magnoliahub.report.RecordedPeriod;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/**
 * Guards against requests of entry gateways that are missing from the daily report.
 */
class AsyncRequestRecorderTests {

	private static final Duration REPORTED_RANGE = Duration.ofDays(2);

	private EntryFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = EntryFixture.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private RecordedPeriod period() throws Exception {
		Instant now = Instant.now();
		try (PlatformObjectStore objects = PlatformObjectStore.open(HostPort.parse(this.fixture.store.address()))) {
			return RecordReader.of(objects, Schedulers.computation())
				.read(now.minus(REPORTED_RANGE), now.plusSeconds(1), (record) -> true,
						new RecordReader.Limits(100, 100, ""))
				.blockingGet();
		}
	}

	private RecordTotals.ClassTotals totals(String route) throws Exception {
		return period().totals()
			.classes()
			.stream()
			.filter((each) -> each.requestClass().equals(route))
			.findFirst()
			.orElse(new RecordTotals.ClassTotals(route, 0, 0, 0, 0, 0, 0));
	}

	private void awaitRequests(String route, long count) {
		Awaitility.await()
			.atMost(Duration.ofSeconds(10))
			.untilAsserted(() -> assertThat(totals(route).requests()).isEqualTo(count));
	}

	@Test
	void responsesRefusalsAndFailuresAreCountedByRoute() throws Exception {
		this.fixture.send("POST", "/order/1", "refused");
		this.fixture.addEndpoint("i-1", "plain", (request, socket) -> {
			if (request.header("Request-Id").equals("lost")) {
				RawServer.reset(socket);
				return;
			}
			RawServer.write(socket, EntryFixture.signedResponse(request, "answer"));
		});
		this.fixture.awaitEndpoints();
		for (int index = 0; index < 3; index++) {
			this.fixture.send("POST", "/order/1", "r" + index);
		}
		this.fixture.send("POST", "/order/1", "lost");
		awaitRequests("order", 5);
		assertThat(totals("order")).isEqualTo(new RecordTotals.ClassTotals("order", 5, 3, 3, 1, 0, 1));
		assertThat(period().totals().reasons()).contains(new RecordTotals.ReasonTotals("not_run", "no_endpoint", 1));
		assertThat(period().totalsIncomplete()).isFalse();
	}

	@Test
	void stagesAreCountedWithTheirPieces() throws Exception {
		StageEmulator stages = new StageEmulator(20, 1);
		this.fixture.addEndpoint("s-1", "read", stages.handler());
		this.fixture.addEndpoint("s-2", "rank", stages.handler());
		this.fixture.addEndpoint("m-1", "model", (request, socket) -> RawServer.write(socket,
				EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
		this.fixture.awaitEndpoints();
		this.fixture.send("POST", "/staged/1", "r1", "Pieces: 1,2", "Piece-Key: k1");
		awaitRequests("staged", 1);
		assertThat(period().totals().stages())
			.extracting(RecordTotals.StageTotals::stage, RecordTotals.StageTotals::completed,
					RecordTotals.StageTotals::cost)
			.containsExactlyInAnyOrder(tuple("read", 1L, 1.0), tuple("rank", 1L, 2.0), tuple("request", 1L, 1.0));
	}

	@Test
	void recordsAreKeptWhileStoreIsUnavailable() throws Exception {
		this.fixture.store.setMode(StoreEmulator.Mode.BUSY);
		this.fixture.send("POST", "/order/1", "refused");
		Thread.sleep(3_000);
		this.fixture.store.setMode(StoreEmulator.Mode.SOUND);
		awaitRequests("order", 1);
	}

	@Test
	void gracefulShutdownWritesLastRecords() throws Exception {
		awaitRequests("order", 0);
		Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> period().objects() > 0);
		this.fixture.send("POST", "/order/1", "refused");
		this.fixture.gateway(0).stop();
		awaitRequests("order", 1);
		assertThat(period().totalsIncomplete()).isFalse();
	}

}
