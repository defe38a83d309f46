package org.magnoliahub.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliahub.configurationcheck.ConfigurationText;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the exit codes and the two forms of the output.
 */
class CheckConfigurationCommandTests {

	private static final String WARNING = ConfigurationText.with("\"cold_per_s\":14.0", "\"cold_per_s\":0");

	private static final String ERROR = ConfigurationText.with("\"/look/\"", "\"look\"");

	private static final String NEWER = ConfigurationText.with("\"version\":7", "\"version\":8");

	@TempDir
	private Path directory = Path.of(".");

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private ExitCode run(String... arguments) {
		PrintStream stream = new PrintStream(this.output, true, StandardCharsets.UTF_8);
		String[] all = new String[arguments.length + 1];
		all[0] = "check-configuration";
		System.arraycopy(arguments, 0, all, 1, arguments.length);
		return Main.run(Commands.all(), all, Map.of(), stream, stream);
	}

	private String file(String name, String text) throws IOException {
		return Files.writeString(this.directory.resolve(name), text).toString();
	}

	private String output() {
		return this.output.toString(StandardCharsets.UTF_8);
	}

	@Test
	void exitCodeIsThatOfTheMostSevereFinding() throws IOException {
		assertThat(run(file("valid", ConfigurationText.VALID)).value()).isEqualTo(0);
		assertThat(run(file("warning", WARNING)).value()).isEqualTo(1);
		assertThat(run(file("error", ERROR.replace("14.0", "0"))).value()).isEqualTo(2);
	}

	@Test
	void fileThatCannotBeReadHasAnExitCodeOfItsOwn() throws IOException {
		String valid = file("valid", ConfigurationText.VALID);
		assertThat(run(this.directory.resolve("none").toString()).value()).isEqualTo(3);
		assertThat(run(file("text", "{\"version\":")).value()).isEqualTo(3);
		assertThat(run(valid, "--against", this.directory.resolve("none").toString()).value()).isEqualTo(3);
	}

	@Test
	void differencesAloneAreNoFindings() throws IOException {
		String newer = file("newer", NEWER.replace("\"look\"", "\"see\"").replace("\"batch\":4", "\"batch\":5"));
		assertThat(run(newer, "--against", file("in-force", ConfigurationText.VALID)).value()).isEqualTo(0);
		assertThat(output()).contains("errors: 0, warnings: 0\n", "differences from the version in force: 3\n",
				"- route look\n+ route see\n~ service read\n    pieces.batch: 4 -> 5\n");
	}

	@Test
	void olderVersionIsAnErrorWithItsPlace() throws IOException {
		String older = file("older", ConfigurationText.VALID);
		assertThat(run(older, "--against", file("in-force", NEWER)).value()).isEqualTo(2);
		assertThat(output()).contains("error $.version: expected a version above 8");
	}

	@Test
	void namesCannotImitateFurtherLines() throws IOException {
		run(file("name", ERROR.replace("\"look\"", "\"l\\nerror $.x: y\"")), "--against", file("in-force", NEWER));
		assertThat(output().lines()).noneMatch((line) -> line.startsWith("error $.x"));
	}

	@Test
	void jsonHasFindingsAndDifferences() throws IOException {
		run(file("error", ERROR), "--against", file("in-force", NEWER), "--format", "json");
		JsonNode root = new ObjectMapper().readTree(output());
		assertThat(root.path("errors").asInt()).isEqualTo(2);
		assertThat(root.path("findings").path(0).path("severity").asText()).isEqualTo("error");
		assertThat(root.path("findings").path(0).path("path").asText()).isEqualTo("$.routes[0].prefix");
		JsonNode difference = root.path("differences").path(0);
		assertThat(difference.path("change").asText()).isEqualTo("changed");
		assertThat(difference.path("fields").path(0).path("before").asText()).isEqualTo("/look/");
	}

}
