package org.magnoliahub.serving;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work for endpoints that leave, and against losing all endpoints when the
 * store returns from an outage with an empty list.
 */
class EndpointDirectoryTests {

	private final EndpointDirectory directory = ServingFixtures.directory(ServingFixtures.endpoint("a", "plain", "z1"));

	private List<String> usable(long now) {
		return this.directory.availableEndpoints("plain", now)
			.stream()
			.map((endpoint) -> endpoint.record().id())
			.toList();
	}

	@Test
	void removedEndpointGetsNothing() {
		this.directory.recordStoreContact(100);
		this.directory.remove("a", 100);
		assertThat(usable(100)).isEmpty();
	}

	@Test
	void drainingEndpointGetsNothing() {
		EndpointRecord draining = new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, true, 1, 2);
		this.directory.update(draining);
		assertThat(usable(100)).isEmpty();
	}

	@Test
	void endpointThatLapsedInAnOutageIsKeptUntilItShouldBeBack() {
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(), 5_000);
		assertThat(usable(5_000)).containsExactly("a");
		assertThat(usable(5_000 + EndpointDirectory.RELISTING_GRACE_MILLIS)).isEmpty();
	}

	@Test
	void endpointThatIsBackStays() {
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(), 5_000);
		this.directory.update(ServingFixtures.endpoint("a", "plain", "z1"));
		assertThat(usable(9_000)).containsExactly("a");
	}

	@Test
	void listedEndpointsGoBeforeLapsedOnes() {
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(ServingFixtures.endpoint("b", "plain", "z1")), 5_000);
		assertThat(usable(5_000)).containsExactly("b");
	}

	@Test
	void drainingEndpointIsNotKeptAfterAnOutage() {
		this.directory.update(new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, true, 1, 2));
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(), 5_000);
		assertThat(this.directory.size()).isZero();
	}

	@Test
	void restartUnderOneIdForgetsWhatWasCached() {
		EndpointState state = this.directory.availableEndpoints("plain", 0).get(0);
		state.promptCache().add(List.of(new PromptSegment("p", 100)));
		this.directory.update(new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, false, 2, 1));
		assertThat(state.promptCache().cachedPrefixTokens(List.of(new PromptSegment("p", 100)))).isZero();
	}

}
