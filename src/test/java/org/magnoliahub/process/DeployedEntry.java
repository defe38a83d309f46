package org.magnoliahub.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The entry gateway as the deploy file starts it. Its options, such as the size of the
 * heap, are part of what is tested.
 */
final class DeployedEntry {

	private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"(.+)\"$");

	private DeployedEntry() {
	}

	/**
	 * Returns the command of the deploy file.
	 */
	static List<String> commandLine() throws IOException {
		Matcher run = COMMAND.matcher(Files.readString(Path.of("deploy/system.toml")));
		assertThat(run.find()).isTrue();
		return List.of(run.group(1).split(" "));
	}

}
