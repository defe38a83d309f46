package org.magnoliahub.serving;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request being matched to the wrong one of many routes, and against a
 * lookup whose cost grows with the number of routes.
 */
class HostRoutesTests {

	private static final int ROUTE_COUNT = 50_000;

	private final HostRoutes routes = new HostRoutes();

	private void add(String name, String prefix) {
		this.routes.add(new Route(name, "h", prefix, CallKind.IDEMPOTENT, 1_000, 300, 0,
				List.of(new ServiceShare("service", 1)), 1, List.of(), false, false, 0));
	}

	private String name(String path) {
		Route found = this.routes.longestMatch(path);
		return (found != null) ? found.name() : "none";
	}

	@ParameterizedTest
	@CsvSource({ "/a/b/c,inner", "/a/b/,inner", "/a/bc,outer", "/a/,outer", "/a,none", "/x/,none", "x,none", "'',none",
			"/a/b//c/d/e/f/g/h/i,inner" })
	void longestPrefixWins(String path, String name) {
		add("outer", "/a/");
		add("inner", "/a/b/");
		assertThat(name(path)).isEqualTo(name);
	}

	@Test
	void rootMatchesEverything() {
		add("root", "/");
		assertThat(name("/anything/at/all")).isEqualTo("root");
	}

	@Test
	void eachOfManyRoutesIsFound() {
		for (int index = 0; index < ROUTE_COUNT; index++) {
			add("r" + index, "/p/" + index + "/");
		}
		for (int index = 0; index < ROUTE_COUNT; index++) {
			assertThat(name("/p/" + index + "/work")).isEqualTo("r" + index);
		}
	}

}
