package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.configurationcheck.ConfigurationText;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against fields that gateways ignore or replace without a finding.
 */
class ConfigurationDocumentReaderTests {

	@ParameterizedTest
	@CsvSource({ "'{\"version\"', $", "'{\"name\":\"look\"', $.routes[0]",
			"'{\"service\":\"model\"', $.routes[1].traffic_split[0]", "'{\"service\":\"read\"', $.routes[1].stages[0]",
			"'{\"name\":\"plain\"', $.services[0]", "'{\"slots\":1', $.services[2].pieces",
			"'{\"max_header_bytes\"', $.limits", "'{\"name\":\"t2\"', $.tenants[1]" })
	void unknownFieldIsAWarningAtItsPlace(String start, String object) throws PlatformFormatException {
		String text = ConfigurationText.with(start, "{\"timeout\":1," + start.substring(1));
		assertThat(ConfigurationText.findings(text)).containsExactly("warning " + object + ".timeout");
	}

	@ParameterizedTest
	@CsvSource({ "timeout_ms\":1500, 0, $.routes[0].timeout_ms", "timeout_ms\":1500, 1.5, $.routes[0].timeout_ms",
			"timeout_ms\":1500, 99999999999999999999, $.routes[0].timeout_ms",
			"timeout_ms\":1500, \"1500\", $.routes[0].timeout_ms", "priority\":1, -1, $.routes[1].priority",
			"max_attempts\":3, 0, $.routes[0].max_attempts", "weight\":90, -1, $.routes[1].traffic_split[0].weight",
			"weight\":90, 1e999, $.routes[1].traffic_split[0].weight",
			"size_bytes\":90, -1, $.routes[1].stages[1].size_bytes", "batch\":4, 0, $.services[2].pieces.batch",
			"item_ms\":20.5, -1, $.services[2].pieces.item_ms", "cold_s\":3.0, -1, $.services[1].cold_s",
			"max_body_bytes\":20000, 4294967296, $.limits.max_body_bytes" })
	void numberOutOfRangeIsAnError(String part, String number, String place) throws PlatformFormatException {
		String text = ConfigurationText.with(part, part.substring(0, part.indexOf(':') + 1) + number);
		assertThat(ConfigurationText.findings(text)).contains("error " + place);
	}

	@ParameterizedTest
	@CsvSource({ "'\"host\":\"a.example\",\"prefix\":\"/look/\"', '\"prefix\":\"/look/\"', $.routes[0].host",
			"'\"service\":\"plain\",\"max_attempts\":3', '\"max_attempts\":3', $.routes[0].service",
			"'\"idempotent\"', '\"other\"', $.routes[0].kind",
			"'\"resume_streams\":true', " + "'\"resume_streams\":\"true\"', $.routes[1].resume_streams",
			"'\"routes\":[', '\"routes\":[4,', $.routes[0]", "'\"key-3\"', 'null', $.tenants[1].api_keys[0]",
			"'\"services\":[', '\"services\":[null,', $.services[0]",
			"'\"health_path\":\"/h\"},', '\"health_path\":1},', $.services[0].health_path" })
	void missingValueOrWrongTypeIsAnError(String part, String replacement, String place)
			throws PlatformFormatException {
		assertThat(ConfigurationText.findings(ConfigurationText.with(part, replacement))).contains("error " + place);
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "{}", "{\"version\":1}", "{\"version\":1,\"routes\":null}", "{\"version\":7.0,\"routes\":[]}" })
	void whatGatewaysRejectIsAnError(String text) throws PlatformFormatException {
		assertThat(ConfigurationText.findings(text)).anyMatch((finding) -> finding.startsWith("error"));
	}

	/**
	 * Replaces each value by values of other types, which the gateways' reader may
	 * reject.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "null", "-1", "1.5", "1e999", "true", "\"x\"", "[]", "{}", "[[{}]]" })
	void everyRejectionByGatewaysIsAnError(String replacement) throws PlatformFormatException {
		Matcher value = Pattern.compile("(?<=:)(\"[^\"]*\"|[0-9.]+|true|false)").matcher(ConfigurationText.VALID);
		int rejected = 0;
		while (value.find()) {
			String text = ConfigurationText.VALID.substring(0, value.start()) + replacement
					+ ConfigurationText.VALID.substring(value.end());
			if (isRejected(text)) {
				rejected++;
				assertThat(ConfigurationText.findings(text)).as(text)
					.anyMatch((finding) -> finding.startsWith("error"));
			}
		}
		assertThat(rejected).isPositive();
	}

	private static boolean isRejected(String text) {
		try {
			new ConfigurationReader().read(text.getBytes(StandardCharsets.UTF_8));
			return false;
		}
		catch (PlatformFormatException | RuntimeException ex) {
			return true;
		}
	}

	@ParameterizedTest
	@CsvSource({ "'\"version\":7', '\"version\":6,\"version\":7', $.version",
			"'\"batch\":4', '\"batch\":4,\"batch\":4', $.services[2].pieces.batch",
			"'\"key-3\"]}]}', '\"key-3\"]}]}x', $", "'\"key-3\"]}]}', '\"key-3\"]}]}{}', $" })
	void partThatIsDroppedIsAnError(String part, String replacement, String place) throws PlatformFormatException {
		assertThat(ConfigurationText.findings(ConfigurationText.with(part, replacement)))
			.containsExactly("error " + place);
	}

	@Test
	void nullIsAnAbsentValueAsForGateways() throws PlatformFormatException {
		String text = ConfigurationText.with("\"priority\":1", "\"priority\":null");
		assertThat(ConfigurationText.findings(text)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "{", "text" })
	void otherTextsCannotBeRead(String text) {
		assertThatExceptionOfType(PlatformFormatException.class)
			.isThrownBy(() -> ConfigurationDocumentReader.read(text.getBytes(StandardCharsets.UTF_8)));
	}

}
