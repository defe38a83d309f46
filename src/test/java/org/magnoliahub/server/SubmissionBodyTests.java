package org.magnoliahub.server;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against bodies that end in an untyped error.
 */
class SubmissionBodyTests {

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Test
	void readsASubmission() throws InvalidRequestException {
		assertThat(SubmissionBody.parse(bytes("{\"class\":\"draft\",\"input\":{}}")).path("class").asText())
			.isEqualTo("draft");
	}

	@Test
	void deeplyNestedBodyIsInvalid() {
		byte[] body = bytes("[".repeat(200_000));
		assertThatExceptionOfType(InvalidRequestException.class).isThrownBy(() -> SubmissionBody.parse(body));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{", "[]", "{\"class\":1,\"input\":1}", "{\"class\":\"draft\"}" })
	void otherBodiesAreInvalid(String body) {
		assertThatExceptionOfType(InvalidRequestException.class).isThrownBy(() -> SubmissionBody.parse(bytes(body)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "-4", "0", "1e99", "1000001", "1.5", "\"12\"", "null", "99999999999999999999" })
	void numberOfTokensOutOfRangeIsInvalid(String tokens) {
		byte[] body = bytes("{\"class\":\"draft\",\"input\":{\"max_tokens\":" + tokens + "}}");
		assertThatExceptionOfType(InvalidRequestException.class).isThrownBy(() -> SubmissionBody.parse(body))
			.withMessageContaining("input.max_tokens")
			.withMessageContaining("from 1 to 1000000");
	}

	@ParameterizedTest
	@ValueSource(strings = { "1", "12", "1000000" })
	void numberOfTokensInRangeIsTaken(String tokens) throws InvalidRequestException {
		assertThat(SubmissionBody.parse(bytes("{\"class\":\"draft\",\"input\":{\"max_tokens\":" + tokens + "}}"))
			.path("input")
			.path("max_tokens")
			.asInt()).isPositive();
	}

}
