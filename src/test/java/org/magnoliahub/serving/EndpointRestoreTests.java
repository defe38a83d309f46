package org.magnoliahub.serving;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The store comes back from an older copy: guards against requests to endpoints that had
 * left, whose old entries are back, and against losing live ones whose entries are
 * missing.
 */
class EndpointRestoreTests {

	private static final long BACK = 5_000;

	private final EndpointDirectory directory = ServingFixtures.directory(entry("a", 1, 10, false));

	private static EndpointRecord entry(String id, long born, long sequence, boolean draining) {
		return new EndpointRecord(id, "plain", "10.0.0.1:80", "z1", 4, draining, born, sequence);
	}

	private List<String> usable(long now) {
		return this.directory.availableEndpoints("plain", now)
			.stream()
			.map((endpoint) -> endpoint.record().id())
			.toList();
	}

	private EndpointDirectory.RestoreSummary restore(EndpointRecord... records) {
		this.directory.recordStoreContact(BACK);
		return this.directory.replaceAllAfterRestore(List.of(records), BACK);
	}

	@Test
	void missingEndpointIsKeptUntilItShouldBeBack() {
		assertThat(restore()).isEqualTo(new EndpointDirectory.RestoreSummary(0, 0, 1, 0));
		assertThat(usable(BACK + EndpointDirectory.RELISTING_GRACE_MILLIS - 1)).containsExactly("a");
		assertThat(usable(BACK + EndpointDirectory.RELISTING_GRACE_MILLIS)).isEmpty();
	}

	@Test
	void missingEndpointThatWritesAgainStays() {
		restore();
		this.directory.update(entry("a", 1, 12, false));
		this.directory.recordStoreContact(20_000);
		assertThat(usable(20_000)).containsExactly("a");
	}

	@Test
	void drainingEndpointGetsNothingThroughItsOldEntry() {
		this.directory.update(entry("a", 1, 11, true));
		assertThat(restore(entry("a", 1, 10, false)).outdated()).isOne();
		assertThat(usable(BACK)).isEmpty();
	}

	@Test
	void drainingEndpointGetsNothingWhenItSaysReadyInTheSameProcess() {
		this.directory.update(entry("a", 1, 11, true));
		this.directory.update(entry("a", 1, 12, false));
		assertThat(usable(BACK)).isEmpty();
	}

	@Test
	void drainingEndpointThatIsMissingIsDropped() {
		this.directory.update(entry("a", 1, 11, true));
		assertThat(restore().dropped()).isOne();
		assertThat(usable(BACK)).isEmpty();
	}

	@Test
	void endpointThatWasGoneIsNotBroughtBackByItsOldEntry() {
		this.directory.recordStoreContact(1_000);
		this.directory.remove("a", 1_000);
		assertThat(restore(entry("a", 1, 10, false)).outdated()).isOne();
		assertThat(restore(entry("a", 1, 9, false)).outdated()).isOne();
		assertThat(usable(BACK)).isEmpty();
	}

	@Test
	void endpointThatWasGoneAndWritesAgainIsUsable() {
		this.directory.recordStoreContact(1_000);
		this.directory.remove("a", 1_000);
		restore(entry("a", 1, 11, false));
		assertThat(usable(BACK)).isEmpty();
		this.directory.update(entry("a", 1, 12, false));
		assertThat(usable(BACK)).containsExactly("a");
	}

	@Test
	void newProcessUnderTheIdIsUsable() {
		this.directory.update(entry("a", 1, 11, true));
		restore(entry("a", 2, 1, false));
		assertThat(usable(BACK)).containsExactly("a");
	}

	@Test
	void entryOfTheProcessBeforeDoesNotReplaceTheOneThatRuns() {
		this.directory.update(entry("a", 2, 1, false));
		restore(entry("a", 1, 11, false));
		assertThat(usable(BACK)).containsExactly("a");
		assertThat(this.directory.availableEndpoints("plain", BACK).get(0).record().processStartMillis()).isEqualTo(2);
		assertThat(usable(BACK + EndpointDirectory.RELISTING_GRACE_MILLIS)).isEmpty();
	}

	@Test
	void addressOfAnotherServiceMeanwhileIsNotConfused() {
		this.directory.recordStoreContact(1_000);
		this.directory.remove("a", 1_000);
		this.directory.update(new EndpointRecord("b", "other", "10.0.0.1:80", "z1", 4, false, 2, 1));
		restore(entry("a", 1, 9, false));
		assertThat(usable(BACK)).isEmpty();
		assertThat(this.directory.availableEndpoints("other", BACK)).hasSize(1);
	}

	@Test
	void endpointsThatLapsedAreForgottenWhenTheTimeIsOver() {
		restore();
		this.directory.recordStoreContact(BACK + EndpointDirectory.RELISTING_GRACE_MILLIS);
		assertThat(this.directory.size()).isZero();
	}

}
