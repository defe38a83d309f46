package org.magnoliahub.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a refusal that does not say what is wrong with the message.
 */
class BadMessageHandlerTests {

	@Test
	void headThatIsTooLongIsNamedWithoutAReasonOfTheParser() {
		ByteBuffer body = new BadMessageHandler().badMessageError(431, null, HttpFields.build());
		assertThat(StandardCharsets.UTF_8.decode(body).toString()).contains("Request Header Fields Too Large")
			.contains("status 431")
			.doesNotContain("null");
	}

}
