package org.magnoliahub.httpsyntax;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a status line whose status the protocol does not know.
 */
class StatusCodesTests {

	@ParameterizedTest
	@ValueSource(strings = { "100", "102", "199", "200", "204", "304", "404", "599" })
	void codesOfTheProtocolAreValid(String text) {
		assertThat(StatusCodes.isValid(text)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "0", "000", "001", "099", "99", "101", "600", "999", "0200", "2000", "20", "+20",
			"-20", "20x", " 20", "20 ", "\u0662\u0660\u0660" })
	void otherTextsAreInvalid(String text) {
		assertThat(StatusCodes.isValid(text)).isFalse();
	}

}
