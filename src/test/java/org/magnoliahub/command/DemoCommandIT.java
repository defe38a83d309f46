package org.magnoliahub.command;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the demonstration that a newcomer runs first, and a report that does not count
 * what its callers got.
 */
class DemoCommandIT {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private ExitCode run(String... arguments) {
		PrintStream stream = new PrintStream(this.output, true, StandardCharsets.UTF_8);
		return Main.run(List.of(new DemoCommand()), arguments, Map.of(), stream, stream);
	}

	private String text() {
		return this.output.toString(StandardCharsets.UTF_8);
	}

	@Test
	void entryGatewaysServeEachKindAndTheReportCountsIt() {
		assertThat(run("demo")).isEqualTo(ExitCode.SUCCESS);
		assertThat(text()).contains("(two stages, then a stream) -> 200")
			.contains("(key that nobody has) -> 401")
			.contains("without a gap")
			.containsPattern("order +100\\.0 % +1 +1 ")
			.containsPattern("staged +100\\.0 % +1 +1 ")
			.containsPattern("look +50\\.0 % +2 +1 +0 +1 ")
			.containsPattern("gateway: 127\\.")
			.contains("magnoliahub report --entry-store");
	}

	@Test
	void ownInterfaceServesPipelines() {
		assertThat(run("demo", "--edge", "own")).isEqualTo(ExitCode.SUCCESS);
		assertThat(text()).contains("filing key=submission-42 -> 200").contains("report -> 200");
	}

	@ParameterizedTest
	@CsvSource({ "--edge,third,--edge must be platform or own", "--gateways,0,--gateways",
			"--listen-port,8080,--listen-port is for --edge own" })
	void faultySettingsAreNamed(String flag, String value, String message) {
		assertThat(run("demo", flag, value)).isEqualTo(ExitCode.USAGE);
		assertThat(text()).contains(message);
	}

}
