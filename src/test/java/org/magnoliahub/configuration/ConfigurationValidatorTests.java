package org.magnoliahub.configuration;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.model.StageType;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepting invalid configurations, with which requests would fail.
 */
class ConfigurationValidatorTests {

	static Stream<Arguments> faults() {
		ItemChange.PutPipeline nonIdempotentFirst = new ItemChange.PutPipeline(
				Samples.pipeline(Samples.stage("stamp", StageType.SERVICE, "stamps", false),
						Samples.stage("draft", StageType.GENERATE, "drafting", true)));
		return Stream.of(
				Arguments.of(List.of(nonIdempotentFirst), List.of("stages[0].idempotent", "the last one")),
				Arguments.of(
						List.of(new ItemChange.PutPipeline(
								Samples.pipeline(Samples.stage("draft", StageType.GENERATE, "drafting", false)))),
						List.of("stages[0].idempotent", "service call")),
				Arguments.of(
						List.of(new ItemChange.PutPipeline(
								Samples.pipeline(Samples.stage("draft", StageType.GENERATE, "drafting", true),
										Samples.stage("draft", StageType.GENERATE, "nowhere", true)))),
						List.of("stages[1].name", "occurs twice", "stages[1].pool", "'nowhere'")),
				Arguments.of(List.of(new ItemChange.Remove(ItemKind.ENDPOINT, "stamp-1")),
						List.of("stages[1].pool", "'stamps'")),
				Arguments.of(List.of(new ItemChange.Remove(ItemKind.PIPELINE, "filing")),
						List.of("request class submission, pipeline", "'filing' is not declared")),
				Arguments.of(
						List.of(new ItemChange.PutRequestClass(Samples.requestClass("filing", Duration.ofMillis(19)))),
						List.of("deadline", "at least 20 ms")),
				Arguments.of(
						List.of(new ItemChange.PutRequestClass(Samples.requestClass("filing", Duration.ofMinutes(11)))),
						List.of("deadline", "at most 600000 ms")),
				Arguments.of(List.of(new ItemChange.PutEndpoint(Samples.endpoint("x", "stamps", "127.0.0.1:9002"))),
						List.of("also the agent of endpoint stamp-1")),
				Arguments.of(List.of(new ItemChange.PutEndpoint(Samples.endpoint("x", "stamps", "127.0.0.1:70000"))),
						List.of("agent", "host:port")),
				Arguments.of(List.of(Samples.putWorkspace("a/b", 1)), List.of("workspace a/b", "rename")),
				Arguments.of(List.of(Samples.putWorkspace("a", 1), Samples.putWorkspace("a", 2)),
						List.of("names it twice")),
				Arguments.of(List.of(new ItemChange.Remove(ItemKind.WORKSPACE, "unknown")),
						List.of("cannot be removed")),
				Arguments.of(List.of(nonIdempotentFirst, new ItemChange.Remove(ItemKind.ENDPOINT, "draft-1"),
						Samples.putWorkspace("-", 1)), List.of("the last one", "'drafting'", "workspace -")));
	}

	@ParameterizedTest
	@MethodSource("faults")
	void reportsAllFaults(List<ItemChange> items, List<String> fragments) {
		List<ConfigurationFault> faults = ConfigurationValidator.validate(Samples.configuration(),
				Samples.change("c", 0, items.toArray(ItemChange[]::new)));
		assertThat(faults.toString()).contains(fragments);
	}

	@Test
	void acceptsTheSample() {
		assertThat(ConfigurationValidator.validate(Samples.configuration())).isEmpty();
	}

}
