package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.serving.CallKind;
import org.magnoliahub.serving.Route;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.StageLimits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards the meaning of each field of a stored configuration.
 */
class ConfigurationReaderTests {

	private static final String STORED = """
			{"version":7,"routes":[
			{"name":"r1","host":"A.example","prefix":"/p/","kind":"streaming","timeout_ms":15000,
			"target_latency_ms":1400,"priority":0,"traffic_split":[{"service":"s1","weight":90},
			{"service":"s2","weight":10}],"max_attempts":2,"stages":[{"service":"o","after":[],"size_bytes":800}],
			"allow_anonymous":true,"resume_streams":true},
			{"name":"r2","host":"a.example","prefix":"/p/q/","kind":"non_idempotent","timeout_ms":1500,
			"target_latency_ms":300,"priority":2,"service":"s2","max_attempts":1}],
			"services":[{"name":"s1","health_path":"/h","engine":{"slots":48}},{"name":"o","health_path":"/h",
			"pieces":{"slots":1,"queue":2,"batch":12,"call_ms":240.0,"item_ms":17.5,"headroom_mb":14.5,"handle_s":4.0}}],
			"limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
			"tenants":[{"name":"t1","api_keys":["k1","k2"]}]}
			""";

	private static ServingConfiguration read(String text) throws PlatformFormatException {
		return new ConfigurationReader().read(text.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void coldServersAreLimitedOnlyWithATimeAndARate() throws PlatformFormatException {
		assertThat(read(STORED).service("s1").orElseThrow().limitsColdServers()).isFalse();
		String both = STORED.replace("\"name\":\"s1\"", "\"name\":\"s1\",\"cold_s\":3.0,\"cold_per_s\":14.0");
		assertThat(read(both).service("s1").orElseThrow().coldMillis()).isEqualTo(3_000);
		assertThat(read(both).service("s1").orElseThrow().coldPerSecond()).isEqualTo(14);
		for (String rate : new String[] { "0", "-1", "\"14\"", "1e400" }) {
			assertThat(read(both.replace("14.0", rate)).service("s1").orElseThrow().limitsColdServers()).isFalse();
		}
	}

	@Test
	void longestPrefixOfTheHostWins() throws PlatformFormatException {
		ServingConfiguration configuration = read(STORED);
		assertThat(configuration.route("a.example:80", "/p/x").map(Route::name)).contains("r1");
		assertThat(configuration.route("A.EXAMPLE", "/p/q/x?y=1").map(Route::name)).contains("r2");
		assertThat(configuration.route("a.example", "/p").map(Route::name)).isEmpty();
		assertThat(configuration.route("b.example", "/p/x").map(Route::name)).isEmpty();
	}

	@Test
	void routeHasItsKindServicesAndStages() throws PlatformFormatException {
		Route route = read(STORED).route("a.example", "/p/x").orElseThrow();
		assertThat(route.kind()).isEqualTo(CallKind.STREAMING);
		assertThat(route.isRetryable()).isTrue();
		assertThat(route.services()).hasSize(2);
		assertThat(route.stages()).hasSize(1);
		assertThat(route.anonymous()).isTrue();
		assertThat(read(STORED).route("a.example", "/p/q/x").orElseThrow().isRetryable()).isFalse();
	}

	@Test
	void routesAndTenantsHaveTheirRegions() throws PlatformFormatException {
		ServingConfiguration configuration = read(
				STORED.replace("\"name\":\"r2\"", "\"name\":\"r2\",\"allowed_regions\":[\"eu\"]")
					.replace("\"name\":\"t1\"", "\"name\":\"t1\",\"allowed_regions\":[\"eu\",\"us\"]"));
		assertThat(configuration.route("a.example", "/p/x").orElseThrow().allowedRegions()).isEmpty();
		assertThat(configuration.route("a.example", "/p/q/x").orElseThrow().allowedRegions()).containsExactly("eu");
		assertThat(configuration.workspace("k1").orElseThrow().allowedRegions()).containsExactlyInAnyOrder("eu", "us");
	}

	@ParameterizedTest
	@ValueSource(strings = { "\"eu\"", "{\"eu\":1}", "[\"eu\",7]" })
	void restrictionThatCannotBeReadIsNotDropped(String regions) {
		String stored = STORED.replace("\"name\":\"t1\"", "\"name\":\"t1\",\"allowed_regions\":" + regions);
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> read(stored))
			.withMessageContaining("tenant t1");
	}

	@Test
	void stagePoolHasItsLimits() throws PlatformFormatException {
		StageLimits pool = read(STORED).service("o").orElseThrow().stageLimits();
		assertThat(pool).isEqualTo(new StageLimits(1, 12, 240, 17.5, 14_500_000, 4_000));
		assertThat(read(STORED).service("s1").orElseThrow().engine()).isTrue();
	}

	@Test
	void keysBelongToWorkspaces() throws PlatformFormatException {
		ServingConfiguration configuration = read(STORED);
		assertThat(configuration.keysRequired()).isTrue();
		assertThat(configuration.workspace("k2").orElseThrow().workspace()).isEqualTo("t1");
		assertThat(configuration.workspace("k3")).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "{", "{\"version\":1}", "{\"routes\":[]}",
			"{\"version\":1,\"routes\":[{\"kind\":\"other\"}]}", "{\"version\":18446744073709551617,\"routes\":[]}",
			"{\"version\":-1,\"routes\":[]}", "{\"version\":1,\"routes\":[{\"kind\":[[[[]]]]}]}" })
	void otherBytesAreRejected(String stored) {
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> read(stored));
	}

	/**
	 * Guards against limits that are cut to an integer, so that every request is too
	 * large.
	 */
	@Test
	void numbersOutOfRangeAreTheLargestPossible() throws PlatformFormatException {
		String large = STORED.replace("\"max_body_bytes\":2000", "\"max_body_bytes\":4294967296")
			.replace("\"max_header_bytes\":1000", "\"max_header_bytes\":99999999999999999999")
			.replace("\"timeout_ms\":15000", "\"timeout_ms\":99999999999999999999")
			.replace("\"batch\":12", "\"batch\":4294967296");
		ServingConfiguration configuration = read(large);
		assertThat(configuration.limits().maximumBodyBytes()).isEqualTo(Integer.MAX_VALUE);
		assertThat(configuration.limits().maximumHeaderBytes()).isEqualTo(Integer.MAX_VALUE);
		assertThat(configuration.route("a.example", "/p/x").orElseThrow().timeoutMillis()).isPositive();
		assertThat(configuration.service("o").orElseThrow().stageLimits())
			.isEqualTo(new StageLimits(1, Integer.MAX_VALUE, 240, 17.5, 14_500_000, 4_000));
	}

}
