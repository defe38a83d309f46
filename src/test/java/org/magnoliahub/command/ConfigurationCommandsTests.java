package org.magnoliahub.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliahub.configuration.FakeObjectStore;
import org.magnoliahub.configuration.FakeTableStore;
import org.magnoliahub.time.TimerService;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationCommandsTests {

	private final Path directory;

	private final FakeTableStore.Connection connection = new FakeTableStore.Connection(new FakeTableStore(),
			new ImmediateTimers(), new Random(1));

	private final FakeObjectStore objectStore = new FakeObjectStore();

	private Instant now = Instant.parse("2026-03-02T08:00:00Z");

	private int changes;

	ConfigurationCommandsTests(@TempDir Path directory) throws IOException {
		this.directory = directory;
		declare("paint", 2, "");
	}

	private void declare(String workspace, int weight, String more) throws IOException {
		Files.writeString(this.directory.resolve("workspaces.yaml"), "workspaces:\n  - name: " + workspace
				+ "\n    weight: " + weight + "\n    maximum-concurrent-requests: 20\n" + more);
	}

	private String run(ExitCode expected, String... arguments) {
		this.now = this.now.plus(Duration.ofMinutes(1));
		CommandContext context = new CommandContext(new FakeAccess(), Clock.fixed(this.now, ZoneOffset.UTC),
				() -> "change-" + ++this.changes);
		String[] resolved = List.of(arguments)
			.stream()
			.map((argument) -> argument.replace("DIR", this.directory.toString()))
			.toArray(String[]::new);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
		ExitCode code = Main.run(Commands.configuration(context), resolved, Map.of("MAGNOLIAHUB_AUTHOR", "mika"),
				output, output);
		String text = bytes.toString(StandardCharsets.UTF_8).replace(this.directory.toString(), "DIR");
		assertThat(code).as(text).isEqualTo(expected);
		return text;
	}

	/**
	 * Guards against a commit that differs from the plan that was shown, a second commit
	 * by a repeated command, an overwritten change of another operator, and a refusal
	 * that leaves no trace.
	 */
	@Test
	void appliesExactlyWhatWasPlanned() throws IOException {
		assertThat(run(ExitCode.SUCCESS, "plan", "DIR", "--plan-file", "DIR/first.json")).contains("+ workspace paint",
				"1 to add, 0 to change, 0 to remove", "plan on version 0 with content hash ");
		declare("paint", 5, "  - name: archive\n");
		run(ExitCode.SUCCESS, "plan", "DIR", "--plan-file", "DIR/second.json");
		for (int repeat = 0; repeat < 2; repeat++) {
			assertThat(run(ExitCode.SUCCESS, "apply", "DIR/first.json", "--comment", "opening\nday"))
				.isEqualTo("version 1 is committed, change change-1\n");
		}
		assertThat(run(ExitCode.CONFLICT, "apply", "DIR/second.json", "--author", "noor")).contains(
				"based on version 0, but the newest is 1",
				"version 1 by mika at 2026-03-02T08:03:00Z: put workspace paint");
		assertThat(run(ExitCode.SUCCESS, "plan", "DIR", "--plan-file", "DIR/third.json")).contains(
				"+ workspace archive", "~ workspace paint", "weight: 2 -> 5", "1 to add, 1 to change, 0 to remove");
		String plan = Files.readString(this.directory.resolve("third.json"));
		Files.writeString(this.directory.resolve("changed.json"), plan.replace("\"weight\":5", "\"weight\":6"));
		assertThat(run(ExitCode.USAGE, "apply", "DIR/changed.json")).contains("does not match its content hash");
		run(ExitCode.SUCCESS, "apply", "DIR/third.json");
		assertThat(run(ExitCode.SUCCESS, "plan", "DIR", "--plan-file", "DIR/none.json"))
			.isEqualTo("version 2 has exactly the declared items; no plan file is written\n");
		String rollback = run(ExitCode.SUCCESS, "rollback", "1", "--author", "noor");
		assertThat(rollback).contains("- workspace archive", "weight: 5 -> 2", "version 3 is committed");
		assertThat(run(ExitCode.SUCCESS, "rollback", "1", "--author", "noor")).contains("nothing is committed");
		assertThat(run(ExitCode.SUCCESS, "show", "3")).contains("# rollback to version 1", "name: paint", "weight: 2")
			.doesNotContain("name: archive");
		assertThat(run(ExitCode.SUCCESS, "status")).contains("version 3 by noor", "workspaces: 1", "snapshot: none");
		assertThat(run(ExitCode.SUCCESS, "history")).containsSubsequence("accepted  version 1", "comment: opening?day",
				"conflict  version 1  base 0  by noor", "refused: the newest version is 1", "accepted  version 2",
				"accepted  version 3", "4 of 4 entries");
		assertThat(run(ExitCode.SUCCESS, "history", "--limit", "1")).contains("accepted  version 3", "1 of 4 entries");
	}

	/**
	 * Guards against a command that changes something or hides a fault after bad input.
	 */
	@ParameterizedTest
	@CsvSource({ "USAGE, 'validate DIR/none', 'cannot read the declarations'",
			"USAGE, 'apply DIR/none.json', 'cannot read the plan file'",
			"USAGE, 'apply DIR/workspaces.yaml', 'expected a plan file'", "USAGE, 'show 7', 'from 1 to 0'",
			"USAGE, 'history --hours x --limit 0', '--limit must be a whole number'",
			"SUCCESS, 'status', 'no version is committed yet'",
			"SUCCESS, 'validate DIR', 'valid files: 1; pipelines: 0, request classes: 0, endpoints: 0, workspaces: 1'" })
	void reportsFaultsOfItsInput(ExitCode code, String command, String fragment) {
		assertThat(run(code, command.split(" "))).contains(fragment);
	}

	/** Guards against a command that hangs or reports success without the platform. */
	@Test
	void reportsAnUnavailablePlatform() {
		this.connection.down = true;
		assertThat(run(ExitCode.UNAVAILABLE, "plan", "DIR", "--plan-file", "DIR/plan.json"))
			.contains("the platform does not answer: store is down");
		this.connection.down = false;
		run(ExitCode.SUCCESS, "plan", "DIR", "--plan-file", "DIR/plan.json");
		this.connection.lostResponseProbability = 1;
		run(ExitCode.SUCCESS, "apply", "DIR/plan.json");
		this.connection.lostResponseProbability = 0;
		assertThat(run(ExitCode.SUCCESS, "apply", "DIR/plan.json")).contains("version 1 is committed");
		this.objectStore.down = true;
		assertThat(run(ExitCode.SUCCESS, "status")).contains("snapshot: unknown");
	}

	private final class FakeAccess implements PlatformAccess {

		@Override
		public void declare(ArgumentParser parser) {
			// This access needs no settings.
		}

		@Override
		public Platform open(Settings settings) throws CommandException {
			settings.check();
			return new Platform(ConfigurationCommandsTests.this.connection,
					ConfigurationCommandsTests.this.objectStore);
		}

	}

	private static final class ImmediateTimers implements TimerService {

		@Override
		public long nanoTime() {
			return 0;
		}

		@Override
		public Completable after(Duration delay) {
			return Completable.complete();
		}

		@Override
		public Flowable<Long> every(Duration period) {
			return Flowable.never();
		}

	}

}
