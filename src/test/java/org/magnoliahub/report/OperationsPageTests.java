package org.magnoliahub.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OperationsPageTests {

	private static final Pattern DOCUMENTED = Pattern.compile("`magnoliahub_([a-z_]+)(?:\\{[^`]*\\})?`");

	private static final Pattern NAMED = Pattern.compile("\"(magnoliahub\\.[a-z.]+)\"");

	private static final Pattern PREFIXED = Pattern.compile("PREFIX \\+ \"([a-z.]+)\"");

	/**
	 * Guards against alerts on metrics that do not exist.
	 */
	@Test
	void metricsOfTheRunbookExist() throws IOException {
		TreeSet<String> existing = new TreeSet<>();
		try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".java")).toList()) {
				String code = Files.readString(file);
				NAMED.matcher(code).results().forEach((match) -> existing.add(match.group(1)));
				PREFIXED.matcher(code)
					.results()
					.forEach((match) -> existing.add("magnoliahub.transport." + match.group(1)));
			}
		}
		var documented = DOCUMENTED.matcher(Files.readString(Path.of("docs/operations/runbook.md")))
			.results()
			.map((match) -> "magnoliahub." + match.group(1).replaceAll("_total$", "").replace('_', '.'))
			.collect(Collectors.toSet());
		assertThat(documented).hasSizeGreaterThan(5);
		assertThat(existing).containsAll(documented);
	}

}
