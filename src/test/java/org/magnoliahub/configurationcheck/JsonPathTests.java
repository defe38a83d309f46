package org.magnoliahub.configurationcheck;

import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JsonPathTests {

	private static final JsonPath ROUTES = JsonPath.ROOT.field("routes");

	@Test
	void namesThatWouldLookLikeSeveralStepsAreQuoted() {
		assertThat(ROUTES.element(2).field("a.b'c")).hasToString("$.routes[2]['a.b\\'c']");
	}

	@Test
	void elementsAreOrderedByIndexAndNotAsText() {
		assertThat(Stream.of(ROUTES.element(10), ROUTES.element(9).field("name"), ROUTES, ROUTES.element(9)).sorted())
			.containsExactly(ROUTES, ROUTES.element(9), ROUTES.element(9).field("name"), ROUTES.element(10));
	}

}
