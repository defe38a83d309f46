package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that a new configuration leaves without an answer.
 */
class ConfigurationChangeTests {

	@Test
	void openRequestsEndAfterTheirRouteAndStageServicesWereRemoved() throws Exception {
		try (EntryFixture fixture = EntryFixture.start()) {
			int second = fixture.addGateway();
			fixture.awaitReady(second);
			StageEmulator stages = new StageEmulator(700, 1);
			fixture.addEndpoint("s-1", "read", stages.handler());
			fixture.addEndpoint("s-2", "rank", stages.handler());
			fixture.addEndpoint("m-1", "model", (request, socket) -> {
				RawServer.write(socket, EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)));
				LockSupport.parkNanos(Duration.ofMillis(700).toNanos());
				RawServer.write(socket, EntryFixture.chunk(EntryFixture.event(2)) + "0\r\n\r\n");
			});
			fixture.awaitEndpoints();
			try (Socket staged = fixture.connect(0); Socket streaming = fixture.connect(second)) {
				RawServer.write(staged,
						EntryFixture.request("POST", "/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1"));
				RawServer.write(streaming, EntryFixture.request("POST", "/once/1", "r2"));
				Thread.sleep(200);
				String smaller = EmulatedSettings.configuration(2, List.of())
					.replace("/staged/", "/gone/")
					.replace("/once/", "/away/")
					.replace("\"read\"", "\"read2\"")
					.replace("\"rank\"", "\"rank2\"")
					.replace("\"idle_timeout_ms\":3000", "\"idle_timeout_ms\":300");
				fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY, smaller);
				CallerAnswer stream = read(streaming);
				assertThat(stream.status()).isEqualTo(200);
				assertThat(stream.complete()).isTrue();
				CallerAnswer answer = read(staged);
				assertThat(answer.status()).isIn(200, 503);
				assertThat(answer.complete()).isTrue();
			}
			assertThat(fixture.log()).contains("\"event\":\"configuration_adopted\",\"version\":2");
		}
	}

	private static CallerAnswer read(Socket socket) throws Exception {
		return CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
	}

}
