package org.magnoliahub.serving;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests being sent to draining or removed endpoints, and against the
 * loss of all endpoints when the list of the store is empty after an outage.
 */
class EndpointDirectoryTests {

	private final EndpointDirectory directory = ServingFixtures.directory(ServingFixtures.endpoint("a", "plain", "z1"));

	private List<String> available(long now) {
		return this.directory.availableEndpoints("plain", now)
			.stream()
			.map((endpoint) -> endpoint.record().id())
			.toList();
	}

	@Test
	void removedEndpointIsUnavailable() {
		this.directory.recordStoreContact(100);
		this.directory.remove("a", 100);
		assertThat(available(100)).isEmpty();
	}

	@Test
	void drainingEndpointIsUnavailable() {
		EndpointRecord draining = new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, true, 1, 2);
		this.directory.update(draining);
		assertThat(available(100)).isEmpty();
	}

	@Test
	void endpointUnlistedAfterAnOutageIsAvailableForTheGracePeriod() {
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(), 5_000);
		assertThat(available(5_000)).containsExactly("a");
		assertThat(available(5_000 + EndpointDirectory.RELISTING_GRACE_MILLIS)).isEmpty();
	}

	@Test
	void relistedEndpointRemainsAvailable() {
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(), 5_000);
		this.directory.update(ServingFixtures.endpoint("a", "plain", "z1"));
		assertThat(available(9_000)).containsExactly("a");
	}

	@Test
	void listedEndpointsPrecedeThoseInTheirGracePeriod() {
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(ServingFixtures.endpoint("b", "plain", "z1")), 5_000);
		assertThat(available(5_000)).containsExactly("b");
	}

	@Test
	void drainingEndpointHasNoGracePeriod() {
		this.directory.update(new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, true, 1, 2));
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(), 5_000);
		assertThat(this.directory.size()).isZero();
	}

	@Test
	void restartWithTheSameIdClearsThePromptCacheEstimate() {
		EndpointState state = this.directory.availableEndpoints("plain", 0).get(0);
		state.promptCache().add(List.of(new PromptSegment("p", 100)));
		this.directory.update(new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, false, 2, 1));
		assertThat(state.promptCache().cachedPrefixTokens(List.of(new PromptSegment("p", 100)))).isZero();
	}

}
