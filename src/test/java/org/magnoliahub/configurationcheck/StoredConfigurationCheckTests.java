package org.magnoliahub.configurationcheck;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.emulator.EmulatedSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards each rule against configurations that it misses, and against findings in valid
 * ones.
 */
class StoredConfigurationCheckTests {

	private static List<String> findings(String part, String replacement) throws PlatformFormatException {
		return ConfigurationText.findings(ConfigurationText.with(part, replacement));
	}

	@Test
	void validConfigurationsHaveNoFindings() throws PlatformFormatException {
		assertThat(ConfigurationText.findings(ConfigurationText.VALID)).isEmpty();
		assertThat(ConfigurationText.findings(EmulatedSettings.configuration(1, List.of("/a/")))).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "'name\":\"draft', 'name\":\"look', routes[1]", "'name\":\"model', 'name\":\"plain', services[1]",
			"'name\":\"t2', 'name\":\"t1', tenants[1]" })
	void nameUsedTwiceIsAnError(String part, String replacement, String entry) throws PlatformFormatException {
		assertThat(findings(part, replacement)).contains("error $." + entry + ".name");
	}

	@Test
	void hostWithPortIsAnError() throws PlatformFormatException {
		assertThat(findings("\"a.example\",\"prefix\":\"/look/\"", "\"a.example:80\",\"prefix\":\"/look/\""))
			.containsExactly("error $.routes[0].host");
	}

	@ParameterizedTest
	@ValueSource(strings = { "look/", "/look", "look" })
	void prefixWithoutSlashesIsAnError(String prefix) throws PlatformFormatException {
		assertThat(findings("\"/look/\"", "\"" + prefix + "\"")).containsExactly("error $.routes[0].prefix");
	}

	@Test
	void rootPrefixIsValid() throws PlatformFormatException {
		assertThat(findings("\"/look/\"", "\"/\"")).isEmpty();
	}

	@Test
	void routeHiddenByAnEarlierOneIsAnError() throws PlatformFormatException {
		assertThat(findings("\"a.example\",\"prefix\":\"/draft/\"", "\"A.example\",\"prefix\":\"/look/\""))
			.containsExactly("error $.routes[1].prefix");
	}

	@ParameterizedTest
	@CsvSource({ "'service\":\"plain\",\"max', routes[0].service",
			"'service\":\"plain\",\"weight', routes[1].traffic_split[1].service",
			"'service\":\"rank', routes[1].stages[1].service" })
	void serviceThatIsNotConfiguredIsAnError(String part, String place) throws PlatformFormatException {
		assertThat(findings(part, part.replaceFirst("plain|rank", "other"))).containsExactly("error $." + place);
	}

	@Test
	void stageOnAServiceWithoutPiecesIsAnError() throws PlatformFormatException {
		assertThat(findings("service\":\"rank", "service\":\"model"))
			.containsExactly("error $.routes[1].stages[1].service");
	}

	@Test
	void weightsWithoutSumAreAnError() throws PlatformFormatException {
		String text = ConfigurationText.with("\"weight\":90", "\"weight\":0").replace("\"weight\":10", "\"weight\":0");
		assertThat(ConfigurationText.findings(text)).containsExactly("error $.routes[1].traffic_split");
	}

	@ParameterizedTest
	@CsvSource({ "'max_attempts\":2', 'max_attempts\":1'", "'\"max_attempts\":2,', ''",
			"'kind\":\"streaming', 'kind\":\"idempotent'" })
	void resumedStreamsWithoutEffectAreAWarning(String part, String replacement) throws PlatformFormatException {
		assertThat(findings(part, replacement)).containsExactly("warning $.routes[1].resume_streams");
	}

	@Test
	void objectiveAboveTheTimeoutIsAWarning() throws PlatformFormatException {
		assertThat(findings("\"target_latency_ms\":300", "\"target_latency_ms\":1501"))
			.containsExactly("warning $.routes[0].target_latency_ms");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 5 })
	void inputThatIsNoEarlierStageIsAnError(int input) throws PlatformFormatException {
		assertThat(findings("\"after\":[0]", "\"after\":[0," + input + "]"))
			.containsExactly("error $.routes[1].stages[1].after[1]");
	}

	/** The stages need 220.5 and 102 ms. */
	@Test
	void chainLongerThanTheTimeoutIsAnError() throws PlatformFormatException {
		String text = ConfigurationText.with("\"timeout_ms\":5000", "\"timeout_ms\":322")
			.replace("\"target_latency_ms\":900,", "");
		assertThat(ConfigurationText.findings(text)).containsExactly("error $.routes[1].timeout_ms");
		assertThat(ConfigurationText.findings(text.replace(":322", ":323"))).isEmpty();
	}

	@Test
	void chainLongerThanTheObjectiveIsAWarning() throws PlatformFormatException {
		assertThat(findings("\"target_latency_ms\":900", "\"target_latency_ms\":322"))
			.containsExactly("warning $.routes[1].target_latency_ms");
	}

	@Test
	void independentStagesAreNotAddedUp() throws PlatformFormatException {
		String text = ConfigurationText.with("\"target_latency_ms\":900", "\"target_latency_ms\":300")
			.replace("\"after\":[0]", "\"after\":[]");
		assertThat(ConfigurationText.findings(text)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", ",\"cold_per_s\":0" })
	void coldTimeWithoutRateIsAWarning(String rate) throws PlatformFormatException {
		assertThat(findings(",\"cold_per_s\":14.0", rate)).containsExactly("warning $.services[1].cold_s");
	}

	@ParameterizedTest
	@CsvSource({ "'\"key-3\"', '', warning $.tenants[1].api_keys", "'key-3', 'key-2', error $.tenants[1].api_keys[0]",
			"'key-2', 'key-1', warning $.tenants[0].api_keys[1]" })
	void missingAndRepeatedKeysAreFindings(String part, String replacement, String finding)
			throws PlatformFormatException {
		assertThat(findings(part, replacement)).containsExactly(finding);
	}

	@Test
	void messagesDoNotContainKeys() throws PlatformFormatException {
		String text = ConfigurationText.with("key-3", "key-2").replace("\"key-1\"", "4711");
		CheckReport report = StoredConfigurationCheck.check(ConfigurationText.read(text), Optional.empty());
		assertThat(report.findings()).hasSize(2)
			.noneMatch((finding) -> finding.message().matches(".*(key-[0-9]|4711).*"));
	}

	@ParameterizedTest
	@CsvSource({ "'[\"east\"]', '[\"west\"]', $.routes[1].allowed_regions",
			"'[\"east\"]', '[]', $.tenants[0].allowed_regions" })
	void regionsThatExcludeEachOtherAreAWarning(String part, String replacement, String place)
			throws PlatformFormatException {
		assertThat(findings(part, replacement)).containsExactly("warning " + place);
	}

	@ParameterizedTest
	@CsvSource({ "6, 0", "7, 1", "8, 1" })
	void versionThatIsNotHigherIsAnError(int inForce, int errors) throws PlatformFormatException {
		ConfigurationDocument other = ConfigurationText
			.read(ConfigurationText.with("\"version\":7", "\"version\":" + inForce));
		CheckReport report = StoredConfigurationCheck.check(ConfigurationText.read(ConfigurationText.VALID),
				Optional.of(other));
		assertThat(report.count(Severity.ERROR)).isEqualTo(errors);
	}

	@Test
	void findingsAreOrderedByPlace() throws PlatformFormatException {
		String text = ConfigurationText.with("\"/draft/\"", "\"draft\"")
			.replace("\"look\"", "\"draft\"")
			.replace("\"cold_per_s\":14.0", "\"added\":0")
			.replace("\"version\":7", "\"version\":-1");
		assertThat(ConfigurationText.findings(text)).containsExactly("error $.routes[1].name",
				"error $.routes[1].prefix", "warning $.services[1].added", "warning $.services[1].cold_s",
				"error $.version");
	}

}
