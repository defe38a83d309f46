package org.magnoliahub.serving;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two effects of restoring the store from an older backup: requests to
 * removed endpoints whose old records reappear, and the loss of live endpoints whose
 * records are missing.
 */
class EndpointRestoreTests {

	private static final long RESTORED_AT = 5_000;

	private final EndpointDirectory directory = ServingFixtures.directory(endpointRecord("a", 1, 10, false));

	private static EndpointRecord endpointRecord(String id, long processStart, long sequence, boolean draining) {
		return new EndpointRecord(id, "plain", "10.0.0.1:80", "z1", 4, draining, processStart, sequence);
	}

	private List<String> available(long now) {
		return this.directory.availableEndpoints("plain", now)
			.stream()
			.map((endpoint) -> endpoint.record().id())
			.toList();
	}

	private EndpointDirectory.RestoreSummary restore(EndpointRecord... records) {
		this.directory.recordStoreContact(RESTORED_AT);
		return this.directory.replaceAllAfterRestore(List.of(records), RESTORED_AT);
	}

	@Test
	void missingEndpointIsAvailableForTheGracePeriod() {
		assertThat(restore()).isEqualTo(new EndpointDirectory.RestoreSummary(0, 0, 1, 0));
		assertThat(available(RESTORED_AT + EndpointDirectory.RELISTING_GRACE_MILLIS - 1)).containsExactly("a");
		assertThat(available(RESTORED_AT + EndpointDirectory.RELISTING_GRACE_MILLIS)).isEmpty();
	}

	@Test
	void missingEndpointThatWritesAgainRemainsAvailable() {
		restore();
		this.directory.update(endpointRecord("a", 1, 12, false));
		this.directory.recordStoreContact(20_000);
		assertThat(available(20_000)).containsExactly("a");
	}

	@Test
	void olderRecordDoesNotEndDraining() {
		this.directory.update(endpointRecord("a", 1, 11, true));
		assertThat(restore(endpointRecord("a", 1, 10, false)).outdated()).isOne();
		assertThat(available(RESTORED_AT)).isEmpty();
	}

	@Test
	void readyRecordOfTheSameProcessDoesNotEndDraining() {
		this.directory.update(endpointRecord("a", 1, 11, true));
		this.directory.update(endpointRecord("a", 1, 12, false));
		assertThat(available(RESTORED_AT)).isEmpty();
	}

	@Test
	void drainingEndpointThatIsMissingIsDropped() {
		this.directory.update(endpointRecord("a", 1, 11, true));
		assertThat(restore().dropped()).isOne();
		assertThat(available(RESTORED_AT)).isEmpty();
	}

	@Test
	void oldRecordDoesNotRestoreARemovedEndpoint() {
		this.directory.recordStoreContact(1_000);
		this.directory.remove("a", 1_000);
		assertThat(restore(endpointRecord("a", 1, 10, false)).outdated()).isOne();
		assertThat(restore(endpointRecord("a", 1, 9, false)).outdated()).isOne();
		assertThat(available(RESTORED_AT)).isEmpty();
	}

	@Test
	void removedEndpointThatWritesAgainIsAvailable() {
		this.directory.recordStoreContact(1_000);
		this.directory.remove("a", 1_000);
		restore(endpointRecord("a", 1, 11, false));
		assertThat(available(RESTORED_AT)).isEmpty();
		this.directory.update(endpointRecord("a", 1, 12, false));
		assertThat(available(RESTORED_AT)).containsExactly("a");
	}

	@Test
	void newProcessWithTheSameIdIsAvailable() {
		this.directory.update(endpointRecord("a", 1, 11, true));
		restore(endpointRecord("a", 2, 1, false));
		assertThat(available(RESTORED_AT)).containsExactly("a");
	}

	@Test
	void recordOfAnEarlierProcessDoesNotReplaceTheCurrentOne() {
		this.directory.update(endpointRecord("a", 2, 1, false));
		restore(endpointRecord("a", 1, 11, false));
		assertThat(available(RESTORED_AT)).containsExactly("a");
		assertThat(this.directory.availableEndpoints("plain", RESTORED_AT).get(0).record().processStartMillis())
			.isEqualTo(2);
		assertThat(available(RESTORED_AT + EndpointDirectory.RELISTING_GRACE_MILLIS)).isEmpty();
	}

	@Test
	void oldRecordWithAReusedAddressIsIgnored() {
		this.directory.recordStoreContact(1_000);
		this.directory.remove("a", 1_000);
		this.directory.update(new EndpointRecord("b", "other", "10.0.0.1:80", "z1", 4, false, 2, 1));
		restore(endpointRecord("a", 1, 9, false));
		assertThat(available(RESTORED_AT)).isEmpty();
		assertThat(this.directory.availableEndpoints("other", RESTORED_AT)).hasSize(1);
	}

	@Test
	void endpointsAreRemovedWhenTheirGracePeriodEnds() {
		restore();
		this.directory.recordStoreContact(RESTORED_AT + EndpointDirectory.RELISTING_GRACE_MILLIS);
		assertThat(this.directory.size()).isZero();
	}

}
