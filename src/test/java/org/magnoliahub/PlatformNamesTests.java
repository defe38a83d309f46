package org.magnoliahub;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the boundary of the adapter: names of the users' platform stand in no other
 * package.
 */
class PlatformNamesTests {

	private static final Pattern NAMES = Pattern.compile("rows-tx|rows-get|rows-feed|stage-run|stage-free|readyz|"
			+ "Piece-Key|Response-Signature|Not-Executed|Target-Instance|Server-Load|Prompt-Prefix|Deadline-Ms|"
			+ "MAGNOLIAHUB_CONFIG|platform_settings|tombstone");

	@Test
	void noOtherPackageKnowsThePlatformsNames() throws IOException {
		List<String> found = new ArrayList<>();
		try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".java")).toList()) {
				boolean adapter = file.toString().contains("/magnoliahub/platform/");
				if (!adapter && NAMES.matcher(Files.readString(file)).find()) {
					found.add(file.toString());
				}
			}
		}
		assertThat(found).isEmpty();
	}

}
