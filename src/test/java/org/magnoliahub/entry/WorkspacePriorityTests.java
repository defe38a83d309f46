package org.magnoliahub.entry;

import java.time.Duration;
import java.util.List;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against stages that are started by the priority of the route although the
 * workspace has one.
 */
class WorkspacePriorityTests {

	@Test
	void stagesStartWithThePriorityOfTheWorkspace() throws Exception {
		try (EntryFixture fixture = new EntryFixture()) {
			fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
					EmulatedSettings.configuration(1, List.of())
						.replace("\"name\":\"workspace-1\"", "\"priority\":7,\"name\":\"workspace-1\""));
			int gateway = fixture.addGateway();
			fixture.awaitReady(gateway);
			StageEmulator stages = new StageEmulator(20, 1);
			fixture.addEndpoint("read-1", "read", stages.handler());
			fixture.addEndpoint("rank-1", "rank", stages.handler());
			fixture.addEndpoint("model-1", "model", (request, socket) -> RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n"));
			fixture.awaitEndpoints();
			assertThat(fixture.sendTo(gateway, "POST", "/staged/1", "r1", "Pieces: 1,1", "Piece-Key: k1").body())
				.isEqualTo(EntryFixture.event(1));
			Awaitility.await()
				.atMost(Duration.ofSeconds(10))
				.untilAsserted(() -> assertThat(fixture.log()).contains("\"rank\":7,\"outcome\":\"start\""));
		}
	}

}
