package org.magnoliahub.declaration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.model.Configuration;

import static org.assertj.core.api.Assertions.assertThat;

class DeclarationReaderTests {

	private static final String VALID_DECLARATIONS = """
			pipelines:
			  - name: filing
			    stages:
			      - name: draft
			        type: generate
			        pool: drafting
			        path: /v1/completions
			      - name: stamp
			        type: service
			        pool: stamps
			        path: /stamps
			        idempotent: false
			request-classes:
			  - name: submission
			    pipeline: filing
			    deadline-ms: 5000
			endpoints:
			  - name: draft-1
			    pool: drafting
			    zone: a
			    agent: 10.0.0.1:7100
			  - name: stamp-1
			    pool: stamps
			    zone: b
			    agent: 10.0.0.2:7100
			workspaces:
			  - name: paint
			""";

	private final Path directory;

	DeclarationReaderTests(@TempDir Path directory) {
		this.directory = directory;
	}

	private Declarations read(String content) throws IOException {
		Files.writeString(this.directory.resolve("all.yaml"), content);
		return DeclarationReader.read(this.directory);
	}

	static Stream<Arguments> faults() {
		return Stream.of(
				Arguments.of("type: generate", "type: generat",
						new String[] { "all.yaml:5: pipeline filing, stages[0].type: expected one of encode, retrieve,"
								+ " rerank, generate, service, but it is the text 'generat'; correct it" }),
				Arguments.of("        idempotent: false\n", "",
						new String[] { "all.yaml:8: pipeline filing, stages[1].idempotent: expected true or false, but"
								+ " the field is missing; add it and set it to false if a call must not run twice" }),
				Arguments.of("deadline-ms: 5000", "deadline: 5s", new String[] {
						"all.yaml:14: request class submission, deadline-ms: expected a whole number from 1"
								+ " to 3600000, but the field is missing; add it",
						"all.yaml:16: request class submission, expected one of the fields deadline-ms, name,"
								+ " objective, pipeline, priority, but it is 'deadline'; correct or remove it" }),
				Arguments.of("    agent: 10.0.0.1:7100", "    agent: 10.0.0.1:7100\n    price-factor: 0",
						new String[] { "all.yaml:22: endpoint draft-1, price-factor: expected a number of at least"
								+ " 0.001, but it is 0; correct it" }),
				Arguments.of("    pipeline: filing", "    pipeline: filings",
						new String[] { "all.yaml:15: request class submission, pipeline: expected a declared pipeline,"
								+ " but 'filings' is not declared; declare it or correct the name" }),
				Arguments.of("name: stamp-1", "name: draft-1",
						new String[] { "all.yaml:10: pipeline filing, stages[1].pool: expected a pool with at least one"
								+ " endpoint, but no endpoint is in pool 'stamps'; declare one or correct the name",
								"all.yaml:22: endpoint draft-1, expected a unique name, but it is also declared at"
										+ " all.yaml:18; rename or remove one of them" }),
				Arguments.of("name: paint", "name: 2024",
						new String[] {
								"all.yaml:27: workspace 2024, name: expected non-empty text, but it is 2024; put it in"
										+ " quotes" }),
				Arguments.of("zone: a", "zone: a\n    zone: b", new String[] {
						"all.yaml:21: expected unique fields, but 'zone' is already set at line 20; remove one of"
								+ " them" }),
				Arguments.of("  - name: paint", "  paint: {}",
						new String[] {
								"all.yaml:26: workspaces: expected a list, but it is a mapping; start each item with"
										+ " '- '" }),
				Arguments.of("zone: a", "zone: [a",
						new String[] { "all.yaml:21: expected valid YAML: while parsing a flow sequence; correct the"
								+ " syntax" }),
				Arguments.of("zone: a", "zone: &z a\n    pool: *z", new String[] {
						"all.yaml:21: expected a literal value, but it is an alias; replace it with the value",
						"all.yaml:21: expected unique fields, but 'pool' is already set at line 19; remove one of them" }));
	}

	/**
	 * Guards against faults that are not reported, are reported at the wrong line, or are
	 * hidden by or repeated because of another fault.
	 */
	@ParameterizedTest
	@MethodSource("faults")
	void reportsFaultsWithFileAndLine(String original, String replacement, String[] expected) throws IOException {
		assertThat(VALID_DECLARATIONS).contains(original);
		int index = VALID_DECLARATIONS.indexOf(original);
		String content = VALID_DECLARATIONS.substring(0, index) + replacement
				+ VALID_DECLARATIONS.substring(index + original.length());
		assertThat(read(content).faults()).extracting(DeclarationFault::toString).containsExactly(expected);
	}

	/** Guards against results that depend on how the items are split over files. */
	@Test
	void readsDeclarationsSplitOverFiles() throws IOException {
		Configuration whole = read(VALID_DECLARATIONS).configuration();
		Files.delete(this.directory.resolve("all.yaml"));
		Path nested = Files.createDirectory(this.directory.resolve("nested"));
		int number = 0;
		for (String part : VALID_DECLARATIONS.split("(?m)^(?=[a-z])")) {
			Files.writeString(nested.resolve(number++ + ".yml"), part);
		}
		Files.writeString(this.directory.resolve("empty.yaml"), "# nothing\n");
		Declarations split = DeclarationReader.read(this.directory);
		assertThat(split.faults()).isEmpty();
		assertThat(split.configuration()).isEqualTo(whole);
		assertThat(split.fileCount()).isEqualTo(5);
	}

	/**
	 * Guards against invalid example declarations, and against written YAML that is not
	 * read back as the same configuration.
	 */
	@ParameterizedTest
	@CsvSource({ "kushiro, 6, 32", "jalarekha, 6, 23" })
	void readsExamplesAndRoundTripsThem(String name, int pipelines, int endpoints) throws IOException {
		Declarations example = DeclarationReader.read(Path.of("examples", name));
		assertThat(example.faults()).isEmpty();
		assertThat(example.configuration().pipelines()).hasSize(pipelines);
		assertThat(example.configuration().endpoints()).hasSize(endpoints);
		Declarations written = read(DeclarationWriter.write(example.configuration()));
		assertThat(written.faults()).isEmpty();
		assertThat(written.configuration()).isEqualTo(example.configuration());
	}

}
