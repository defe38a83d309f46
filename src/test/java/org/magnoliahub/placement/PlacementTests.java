package org.magnoliahub.placement;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are served outside their homes.
 */
class PlacementTests {

	private final Placement placement = new Placement(Map.of("a", "eu", "b", "us", "c", "eu"));

	private AllowedZones zones(Set<String> routeRegions, Set<String> workspaceRegions) {
		return this.placement.allowedZones(routeRegions, workspaceRegions);
	}

	@Test
	void requestWithoutHomesMayBeServedEverywhere() {
		assertThat(zones(Set.of(), Set.of()).isRestricted()).isFalse();
		assertThat(zones(Set.of(), Set.of()).contains("unmapped")).isTrue();
	}

	@Test
	void homesOfRouteOrWorkspaceApply() {
		assertThat(zones(Set.of("eu"), Set.of()).names()).containsExactlyInAnyOrder("a", "c");
		assertThat(zones(Set.of(), Set.of("us")).names()).containsExactly("b");
	}

	@Test
	void homesOfRouteAndWorkspaceIntersect() {
		assertThat(zones(Set.of("eu", "us"), Set.of("us")).names()).containsExactly("b");
		assertThat(zones(Set.of("eu"), Set.of("us")).names()).isEmpty();
	}

	@Test
	void zoneWithoutARegionIsNoHome() {
		assertThat(zones(Set.of("eu", ""), Set.of()).contains("unmapped")).isFalse();
		assertThat(new Placement().allowedZones(Set.of("eu"), Set.of()).names()).isEmpty();
	}

}
