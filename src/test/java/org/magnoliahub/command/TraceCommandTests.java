package org.magnoliahub.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the way from the id of a request to its story, and the list of commands.
 */
class TraceCommandTests {

	private static final String LOG = """
			1.5 gateway-1 {"ms":1,"event":"request_admitted","id":"a"}
			not a log line {
			{"ms":2,"event":"log_limited","event":"request_sent","omitted":7}
			{"ms":3,"event":"request_refused","id":"b"}
			{"ms":4,"event":"request_refused","id":"a","reason":"no_capacity"}
			""";

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	@TempDir
	private Path directory = Path.of(".");

	private ExitCode run(String... arguments) {
		PrintStream stream = new PrintStream(this.output, true, StandardCharsets.UTF_8);
		return Main.run(Commands.all(), arguments, Map.of(), stream, stream);
	}

	@Test
	void printsTheLinesOfTheRequest() throws IOException {
		Path file = Files.writeString(this.directory.resolve("log"), LOG);
		assertThat(run("trace", "a", file.toString())).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.output.toString(StandardCharsets.UTF_8)).contains("request_admitted")
			.contains("no_capacity")
			.contains("7 lines")
			.doesNotContain("\"b\"");
	}

	@Test
	void unknownRequestHasAnExitCodeOfItsOwn() throws IOException {
		Path file = Files.writeString(this.directory.resolve("log"), LOG);
		assertThat(run("trace", "c", file.toString())).isEqualTo(ExitCode.UNKNOWN);
	}

	@Test
	void missingFileIsAFaultOfTheArguments() {
		assertThat(run("trace", "a", this.directory.resolve("none").toString())).isEqualTo(ExitCode.USAGE);
	}

	@Test
	void helpListsEachCommand() {
		PrintStream standard = System.out;
		System.setOut(new PrintStream(this.output, true, StandardCharsets.UTF_8));
		try {
			run("--help");
		}
		finally {
			System.setOut(standard);
		}
		String help = this.output.toString(StandardCharsets.UTF_8);
		for (Command command : Commands.all()) {
			assertThat(help).containsPattern("(?m)^ +" + command.name() + "\\b");
		}
	}

}
