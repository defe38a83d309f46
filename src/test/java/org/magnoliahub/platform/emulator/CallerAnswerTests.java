package org.magnoliahub.platform.emulator;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer that ends early and that the checks of the soak take for a
 * whole one.
 */
class CallerAnswerTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";

	private static CallerAnswer read(String text) throws IOException {
		return CallerAnswer.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
	}

	@ParameterizedTest
	@ValueSource(strings = { HEAD + "Content-Length: 0\r\n\r\n", HEAD + "Content-Length: 4\r\n\r\nbody",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" })
	void everyPartOfAnAnswerIsIncomplete(String text) throws IOException {
		assertThat(read(text).complete()).isTrue();
		for (int end = 0; end < text.length(); end++) {
			assertThat(read(text.substring(0, end)).complete()).as("%d bytes", end).isFalse();
		}
	}

	@Test
	void answerWithoutLengthEndsWithItsConnection() throws IOException {
		CallerAnswer answer = read(HEAD + "\r\nall of it");
		assertThat(answer.complete()).isTrue();
		assertThat(answer.body()).isEqualTo("all of it");
	}

	@Test
	void answerWithoutLengthThatIsResetIsIncomplete() throws IOException {
		InputStream reset = new InputStream() {

			private final InputStream start = new ByteArrayInputStream(
					(HEAD + "\r\na part").getBytes(StandardCharsets.UTF_8));

			@Override
			public int read() throws IOException {
				int next = this.start.read();
				if (next < 0) {
					throw new IOException("reset");
				}
				return next;
			}
		};
		CallerAnswer answer = CallerAnswer.read(reset);
		assertThat(answer.complete()).isFalse();
	}

}
