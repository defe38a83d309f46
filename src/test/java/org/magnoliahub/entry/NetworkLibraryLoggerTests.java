package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against warnings of the network library that get lost or lose their cause.
 */
class NetworkLibraryLoggerTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final NetworkLibraryLogger logger = new NetworkLibraryLogger("library",
			new PrintStream(this.output, true, StandardCharsets.UTF_8));

	@Test
	void warningIsWrittenWithItsArguments() {
		this.logger.warn("{} of {} handlers failed", 1, 3);
		assertThat(written()).isEqualToIgnoringNewLines("WARN library: 1 of 3 handlers failed");
	}

	@Test
	void causeBehindTheArgumentsIsWritten() {
		this.logger.error("handler {} failed", "h", new IllegalStateException("broken"));
		assertThat(written()).contains("ERROR library: handler h failed").contains("IllegalStateException: broken");
	}

	@Test
	void placeholderWithoutAnArgumentIsKept() {
		this.logger.warn("{} and {}", "first");
		assertThat(written()).contains("first and {}");
	}

	@Test
	void debugMessagesAreNotWritten() {
		this.logger.debug("detail {}", 1);
		assertThat(written()).isEmpty();
		assertThat(this.logger.isDebugEnabled()).isFalse();
	}

	private String written() {
		return this.output.toString(StandardCharsets.UTF_8);
	}

}
