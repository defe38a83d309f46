package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.serving.PromptEvidence;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against evidence of another gateway that is misread or stops the reader.
 */
class PromptEvidenceFormatTests {

	@Test
	void endsKeepTheirAgeWithoutACommonClock() throws PlatformFormatException {
		PromptEvidence written = new PromptEvidence(-7, true, true, Map.of(5L, 1_000L, -6L, 1_400L), Set.of(9L));
		List<PromptEvidence> read = PromptEvidenceFormat.decode(PromptEvidenceFormat.encode(List.of(written), 2_000),
				52_000);
		assertThat(read)
			.containsExactly(new PromptEvidence(-7, true, true, Map.of(5L, 51_000L, -6L, 51_400L), Set.of(9L)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "x", "{}", "[]", "{\"parts\":3}", "{\"parts\":[{\"part\":" })
	void otherTextsAreRejected(String text) {
		assertThatExceptionOfType(PlatformFormatException.class)
			.isThrownBy(() -> PromptEvidenceFormat.decode(text.getBytes(StandardCharsets.UTF_8), 0));
	}

	@Test
	void partsOfAnotherFormAreLeftOut() throws PlatformFormatException {
		String text = "{\"parts\":[3,{\"part\":\"zz\"},{\"part\":\"a\",\"ends\":[1],\"cleared\":{}},"
				+ "{\"part\":\"b\",\"ends\":{\"x\":1}}]}";
		assertThat(PromptEvidenceFormat.decode(text.getBytes(StandardCharsets.UTF_8), 0))
			.containsExactly(new PromptEvidence(10, false, false, Map.of(), Set.of()));
	}

}
