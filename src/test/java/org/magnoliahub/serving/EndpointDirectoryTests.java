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

	private static EndpointRecord record(long processStart, long sequence) {
		return record(processStart, sequence, "10.0.0.1:80");
	}

	private static EndpointRecord record(long processStart, long sequence, String address) {
		return new EndpointRecord("a", "plain", address, "z1", 4, false, processStart, sequence);
	}

	// A second endpoint keeps the service available.
	private void removeAfter(EndpointRecord last) {
		this.directory.recordStoreContact(100);
		this.directory.update(ServingFixtures.endpoint("b", "plain", "z1"));
		this.directory.update(last);
		this.directory.remove("a", 100);
	}

	/**
	 * Guards against requests to a removed endpoint one of whose writes the store
	 * performs late.
	 */
	@Test
	void recordFromBeforeTheRemovalIsIgnored() {
		removeAfter(record(5, 8));
		assertThat(this.directory.update(record(5, 6))).isFalse();
		assertThat(this.directory.update(record(5, 8))).isFalse();
		assertThat(available(200)).containsExactly("b");
		this.directory.replaceAll(List.of(ServingFixtures.endpoint("b", "plain", "z1"), record(5, 8)), 200);
		assertThat(available(200)).containsExactly("b");
	}

	/**
	 * Guards against the same if the gateway has not read a later record before.
	 */
	@Test
	void removedEndpointReplacesNoOtherUntilItHasWrittenTwice() {
		removeAfter(record(5, 8));
		assertThat(this.directory.update(record(5, 9))).isTrue();
		assertThat(available(200)).containsExactly("b");
		assertThat(this.directory.update(record(5, 10))).isTrue();
		assertThat(available(200)).containsExactlyInAnyOrder("a", "b");
	}

	@Test
	void removedEndpointThatWritesAgainIsUsedIfThereIsNoOther() {
		removeAfter(record(5, 8));
		this.directory.remove("b", 100);
		this.directory.update(record(5, 9));
		assertThat(available(200)).containsExactly("a");
	}

	@Test
	void endpointThatLapsedInAnOutageOfTheStoreIsBackAtOnce() {
		this.directory.update(record(5, 8));
		this.directory.recordStoreContact(100);
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(ServingFixtures.endpoint("b", "plain", "z1")), 5_000);
		this.directory.recordStoreContact(5_000 + EndpointDirectory.RELISTING_GRACE_MILLIS);
		assertThat(available(8_000)).containsExactly("b");
		assertThat(this.directory.update(record(5, 8))).isFalse();
		assertThat(this.directory.update(record(5, 9))).isTrue();
		assertThat(available(8_000)).containsExactlyInAnyOrder("a", "b");
	}

	@Test
	void outdatedRecordDoesNotEndTheGracePeriod() {
		this.directory.update(record(5, 8));
		this.directory.recordStoreContact(100);
		this.directory.recordStoreContact(5_000);
		this.directory.replaceAll(List.of(), 5_000);
		assertThat(this.directory.update(record(5, 7))).isFalse();
		assertThat(available(5_000 + EndpointDirectory.RELISTING_GRACE_MILLIS)).isEmpty();
	}

	/**
	 * Guards against requests to an address or for a service that a listed endpoint no
	 * longer has.
	 */
	@Test
	void outdatedRecordDoesNotChangeAListedEndpoint() {
		this.directory.update(record(5, 8, "10.0.0.2:80"));
		this.directory.update(record(5, 7));
		this.directory.update(new EndpointRecord("a", "other", "10.0.0.1:80", "z1", 4, false, 5, 6));
		assertThat(this.directory.availableEndpoints("other", 100)).isEmpty();
		assertThat(this.directory.availableEndpoints("plain", 100)).singleElement()
			.satisfies((endpoint) -> assertThat(endpoint.record()).isEqualTo(record(5, 8, "10.0.0.2:80")));
	}

	/**
	 * Guards against a draining endpoint that a late write of the process before it makes
	 * available again.
	 */
	@Test
	void recordOfAnEarlierProcessDoesNotEndDraining() {
		this.directory.update(new EndpointRecord("a", "plain", "10.0.0.1:80", "z1", 4, true, 5, 2));
		assertThat(this.directory.update(record(4, 30))).isFalse();
		assertThat(available(100)).isEmpty();
	}

	@Test
	void recordOfAnEarlierProcessDoesNotBringARemovedEndpointBack() {
		removeAfter(record(5, 8));
		assertThat(this.directory.update(record(4, 30))).isFalse();
		assertThat(available(200)).containsExactly("b");
	}

	@Test
	void laterProcessWithTheSameIdIsAvailableAtOnce() {
		removeAfter(record(5, 8));
		assertThat(this.directory.update(record(6, 1))).isTrue();
		assertThat(available(200)).containsExactlyInAnyOrder("a", "b");
	}

	/**
	 * Guards against a new process that is never used because its clock runs behind.
	 */
	@Test
	void processWithAnEarlierStartIsAvailableWhenItWritesAgain() {
		removeAfter(record(5, 8));
		this.directory.update(record(4, 1));
		assertThat(available(200)).containsExactly("b");
		this.directory.update(record(4, 2));
		assertThat(available(200)).containsExactlyInAnyOrder("a", "b");
	}

	@Test
	void lateWritesBetweenThoseOfAListedProcessDoNotReplaceIt() {
		this.directory.update(record(5, 8));
		this.directory.update(record(4, 1));
		this.directory.update(record(5, 9));
		assertThat(this.directory.update(record(4, 2))).isFalse();
		assertThat(this.directory.availableEndpoints("plain", 100).get(0).record()).isEqualTo(record(5, 9));
	}

	@Test
	void recordWithoutAStartIsUsedWhenItIsWrittenAgain() {
		removeAfter(record(5, 8));
		assertThat(this.directory.update(record(0, 9))).isFalse();
		assertThat(this.directory.update(record(0, 10))).isTrue();
		assertThat(available(200)).containsExactlyInAnyOrder("a", "b");
	}

}
