package org.magnoliahub.entry;

import java.time.Duration;
import java.util.List;

import org.awaitility.Awaitility;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.EmulatedSettings;

/**
 * Guards against a configuration with very many routes that a gateway never adopts,
 * because its encoded form exceeds the limit on a response of the store.
 */
class LargeConfigurationTests {

	private static final String ROUTES = "\"routes\":[";

	private static String route(int index) {
		return """
				{"name":"added-%1$d","host":"h","prefix":"/added-%1$d/","kind":"idempotent","timeout_ms":1500,
				"target_latency_ms":300,"priority":1,"service":"plain","max_attempts":2,"allow_anonymous":false,
				"stages":[{"service":"rank","after":[],"size_bytes":8000},{"service":"read","after":[0],
				"size_bytes":60000}],"sticky":true,"resume_streams":false,"gap_target_ms":400},""".formatted(index);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1_400, 14_000 })
	void configurationWithManyRoutesIsAdopted(int count) throws Exception {
		try (EntryFixture fixture = EntryFixture.start()) {
			StringBuilder routes = new StringBuilder(ROUTES);
			for (int index = 0; index < count; index++) {
				routes.append(route(index));
			}
			String configuration = EmulatedSettings.configuration(7, List.of()).replace(ROUTES, routes);
			fixture.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY, configuration);
			Awaitility.await()
				.atMost(Duration.ofSeconds(30))
				.until(() -> fixture.send("GET", "/added-" + (count - 1) + "/1", "r1").status() != 404);
		}
	}

}
