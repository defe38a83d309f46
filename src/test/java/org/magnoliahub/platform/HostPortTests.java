package org.magnoliahub.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against addresses that are looked up, which blocks the event loop, and against
 * ports out of range.
 */
class HostPortTests {

	@ParameterizedTest
	@ValueSource(strings = { "10.1.0.9:80", "0.0.0.0:0", "255.255.255.255:65535", "127.0.0.1:1" })
	void readsAnAddress(String text) throws PlatformFormatException {
		assertThat(HostPort.parse(text).getAddress().getHostAddress() + ":" + HostPort.parse(text).getPort())
			.isEqualTo(text);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", ":", ":80", "10.1.0.9", "10.1.0.9:", "10.1.0:80", "10.1.0.9.1:80", "a.example:80",
			"[::1]:80", "10.1.0.9:-1", "10.1.0.9:+80", "10.1.0.9:65536", "10.1.0.9:99999999999", "10.1.0.9:8 0",
			"10.1.0.9:\u0668\u0660", " 10.1.0.9:80", "10.1.0.9:80\n", "256.1.1.1:80", "10.1.0.256:80", "1e1.1.1.1:80" })
	void otherTextIsRejected(String text) {
		assertThatExceptionOfType(PlatformFormatException.class).isThrownBy(() -> HostPort.parse(text));
	}

	/**
	 * Guards against a lookup of numbers that are no address, since it blocks the event
	 * loop. A host file that contains such a name shows the lookup.
	 */
	@Test
	void numbersOutOfRangeAreNotLookedUp(@TempDir Path directory) throws IOException, InterruptedException {
		Path hosts = Files.writeString(directory.resolve("hosts"), "127.0.0.1 999.1.1.1\n");
		Path output = directory.resolve("output");
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		Process process = new ProcessBuilder(List.of(java, "-Djdk.net.hosts.file=" + hosts, "-cp",
				System.getProperty("java.class.path"), HostPortProgram.class.getName()))
			.redirectErrorStream(true)
			.redirectOutput(output.toFile())
			.start();
		assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
		assertThat(Files.readString(output)).isEqualTo("host file in use, rejected");
	}

}
