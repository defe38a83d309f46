package org.magnoliahub.configurationcheck;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.PlatformFormatException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes between two versions that are not shown.
 */
class ItemDifferenceTests {

	private static List<ItemDifference> differences(String before, String after) throws PlatformFormatException {
		return ItemDifference.between(ConfigurationText.read(before).items(), ConfigurationText.read(after).items());
	}

	private static List<String> labels(List<ItemDifference> differences) {
		return differences.stream().map((difference) -> difference.change() + " " + difference.item().label()).toList();
	}

	@Test
	void orderOfEntriesAndVersionAreNoDifferences() throws PlatformFormatException {
		String first = "{\"version\":1,\"services\":[{\"name\":\"a\"},{\"name\":\"b\"}]}";
		String second = "{\"version\":2,\"services\":[{\"name\":\"b\"},{\"name\":\"a\"}]}";
		assertThat(differences(first, second)).isEmpty();
	}

	@Test
	void renamedEntryIsRemovedAndAdded() throws PlatformFormatException {
		String renamed = ConfigurationText.with("\"name\":\"look\"", "\"name\":\"see\"");
		assertThat(labels(differences(ConfigurationText.VALID, renamed))).containsExactly("REMOVED route look",
				"ADDED route see");
	}

	@Test
	void changedFieldsHaveTheirPathsAndValues() throws PlatformFormatException {
		String changed = ConfigurationText.with("\"after\":[0]", "\"after\":[]")
			.replace("\"priority\":1", "\"priority\":2");
		assertThat(differences(ConfigurationText.VALID, changed)).singleElement()
			.satisfies((difference) -> assertThat(difference.fields()).containsExactly(
					new FieldDifference("priority", "1", "2"), new FieldDifference("stages[1].after", null, "[]"),
					new FieldDifference("stages[1].after[0]", "0", null)));
	}

	@Test
	void limitsAreCompared() throws PlatformFormatException {
		String changed = ConfigurationText.with("\"max_body_bytes\":20000", "\"max_body_bytes\":1");
		assertThat(labels(differences(ConfigurationText.VALID, changed))).containsExactly("CHANGED limits");
	}

	@Test
	void keysInAMisspelledFieldAreNotShown() throws PlatformFormatException {
		String changed = ConfigurationText.with("\"api_keys\":[\"key-3\"]", "\"api_key\":[\"key-3\"]");
		assertThat(differences(ConfigurationText.VALID, changed).toString()).contains("CHANGED", "api_key")
			.doesNotContain("after=key-3");
	}

	@Test
	void firstKeyOfATenantIsCounted() throws PlatformFormatException {
		String none = ConfigurationText.with("\"key-3\"", "");
		assertThat(differences(none, ConfigurationText.VALID)).singleElement()
			.satisfies((difference) -> assertThat(difference.fields())
				.containsExactly(new FieldDifference("api_keys", "0", "1 (1 added, 0 removed)")));
	}

	@Test
	void keysAreCountedAndNotShown() throws PlatformFormatException {
		String changed = ConfigurationText.with("\"key-2\"", "\"key-4\",\"key-5\"");
		assertThat(differences(ConfigurationText.VALID, changed)).singleElement()
			.satisfies((difference) -> assertThat(difference.fields())
				.containsExactly(new FieldDifference("api_keys", "2", "3 (2 added, 1 removed)")));
	}

}
