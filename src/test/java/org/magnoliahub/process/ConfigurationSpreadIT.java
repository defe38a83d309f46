package org.magnoliahub.process;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.model.Workspace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Guards against configuration that does not reach every process in time, also while the
 * table service is down.
 */
class ConfigurationSpreadIT {

	private static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(13);

	private static final String VERSION = "magnoliahub_configuration_version";

	private static final String DRAFT = "{\"class\":\"draft\",\"input\":{\"prompt\":\"hello\",\"max_tokens\":2}}";

	@Test
	void changeReachesAllGatewaysAndANewOneWithoutTheStore() throws IOException {
		try (ProcessSystem system = ProcessSystem.start(2, 20)) {
			system.listAgentsInInventory();
			system.commit(1, List.of(new ItemChange.PutWorkspace(new Workspace("otaru", 1, 10))));
			await().atMost(IN_FORCE_WITHIN)
				.until(() -> system.metric(system.gateway(0), VERSION) == 2
						&& system.metric(system.gateway(1), VERSION) == 2);
			system.post(system.platform().port(), "/faults", "{\"unavailable\":true}");
			system.startGateway(2);
			// The connections that carry the configuration are counted before it arrives.
			await().atMost(IN_FORCE_WITHIN).until(() -> system.metric(system.gateway(2), VERSION) == 2);
			assertThat(system.submit(2, "report", "", DRAFT, "application/json")).contains("\"complete\"");
		}
	}

}
