package org.magnoliahub.platform;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.magnoliahub.coldstart.ColdBounds;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a start with settings that are missing or wrong.
 */
class NodeSettingsReaderTests {

	private static final String SETTINGS = """
			{
			  "node_name": "front-1",
			  "ip": "10.1.0.41",
			  "zone": "z1",
			  "unknown": true,
			  "listen": {
			    "front": "10.1.0.41:8625",
			    "ready_address": "10.1.0.41:8621",
			    "control": "10.1.0.41:8628"
			  },
			  "internal_ports": [7740, 7755],
			  "limits": {"memory_mb": 430, "max_fds": 4100},
			  "bounds": {"contact_ms": 3000, "drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2,
			    "retry_budget_extra": 58, "budget_window_s": 10},
			  "platform_settings": {"address": "10.200.1.7:8624"}
			}
			""";

	/**
	 * Guards against callers that are refused because the limit of the process is lower
	 * than that of the platform.
	 */
	@Test
	void descriptorsAreThoseThatTheSettingsState() throws PlatformFormatException {
		assertThat(NodeSettingsReader.parse(SETTINGS).maximumDescriptors()).isEqualTo(4_100);
		assertThat(NodeSettingsReader.parse(SETTINGS.replace("\"max_fds\"", "\"other\"")).maximumDescriptors())
			.isZero();
	}

	@Test
	void readsAllFieldsAndIgnoresUnknownOnes() throws PlatformFormatException {
		NodeSettings settings = NodeSettingsReader.parse(SETTINGS);
		assertThat(settings.nodeName()).isEqualTo("front-1");
		assertThat(settings.storeAddress().getPort()).isEqualTo(8624);
		assertThat(settings.internalPort()).isEqualTo(7740);
		assertThat(settings.bounds().graceMillis()).isEqualTo(8_000);
		assertThat(settings.bounds().repeatConstant()).isEqualTo(58);
	}

	@Test
	void limitOnColdServersNeedsBothBounds() throws PlatformFormatException {
		assertThat(NodeSettingsReader.parse(SETTINGS).bounds().cold()).isNull();
		String one = SETTINGS.replace("\"grace_s\"", "\"cold_slack\": 5, \"grace_s\"");
		assertThat(NodeSettingsReader.parse(one).bounds().cold()).isNull();
		String both = one.replace("\"grace_s\"", "\"cold_overage\": 1.5, \"grace_s\"");
		assertThat(NodeSettingsReader.parse(both).bounds().cold()).isEqualTo(new ColdBounds(1.5, 5, 3_000));
	}

	@Test
	void vmWithoutCallersHasNoCallerAddress() throws PlatformFormatException {
		NodeSettings settings = NodeSettingsReader
			.parse(SETTINGS.replaceAll("(?m)^ *\"(front|ready_address)\":.*\n", ""));
		assertThat(settings.callerAddress()).isNull();
		assertThat(settings.readinessAddress()).isNull();
	}

	@Test
	void evacuationBoundAndRegionsAreOptional() throws PlatformFormatException {
		assertThat(NodeSettingsReader.parse(SETTINGS).bounds().evacuationMillis()).isZero();
		assertThat(NodeSettingsReader.parse(SETTINGS).regionsByZone()).isEmpty();
		NodeSettings settings = NodeSettingsReader
			.parse(SETTINGS.replace("\"unknown\": true", "\"zones\": {\"z1\": \"eu\", \"z2\": 3}")
				.replace("\"drain_ms\"", "\"evacuate_ms\": 5000, \"drain_ms\""));
		assertThat(settings.bounds().evacuationMillis()).isEqualTo(5_000);
		assertThat(settings.regionsByZone()).containsExactly(Map.entry("z1", "eu"));
	}

	@Test
	void namesAllFaultsAtOnce() {
		String faulty = SETTINGS.replace("front-1", "")
			.replace("\"drain_ms\": 2000", "\"drain_ms\": \"soon\"")
			.replace("7740", "99999");
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> NodeSettingsReader.parse(faulty))
			.withMessageContaining("node_name")
			.withMessageContaining("drain_ms")
			.withMessageContaining("internal_ports");
	}

	@Test
	void missingStoreIsAFault() {
		String faulty = SETTINGS.replace("platform_settings", "other_settings");
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> NodeSettingsReader.parse(faulty))
			.withMessageContaining("platform_settings.address");
	}

	@Test
	void emptyOrOtherTextIsAFault() {
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> NodeSettingsReader.parse(""));
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> NodeSettingsReader.parse("{a: ["));
	}

	@Test
	void missingVariableIsAFault() {
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> NodeSettingsReader.read(Map.of()))
			.withMessageContaining(NodeSettingsReader.PATH_VARIABLE);
	}

	@Test
	void settingsOfTheWarmUpAreValid() throws Exception {
		try (InputStream settings = NodeSettingsReader.class.getResourceAsStream("/entry/warm-up.json")) {
			String text = new String(settings.readAllBytes(), StandardCharsets.UTF_8).replaceAll("[A-Z]+_PORT", "8625");
			assertThat(NodeSettingsReader.parse(text).bounds().contactMillis()).isPositive();
		}
	}

}
