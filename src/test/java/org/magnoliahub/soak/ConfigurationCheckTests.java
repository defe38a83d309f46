package org.magnoliahub.soak;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedRequest;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.soak.ConfigurationCheck.Probe;
import org.magnoliahub.soak.Finding.Promise;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers by an older configuration that the soak misses or excuses, and
 * against findings about answers that a newer one allows.
 */
class ConfigurationCheckTests {

	private static final int SECOND_PROCESS = 2;

	/** Time after an acknowledgement at which a version is not yet due. */
	private static final long NOT_DUE_MILLIS = 1_900;

	private static final long DUE_MILLIS = 2_300;

	private final long start = Ledger.now();

	private final Disturbances disturbances = new Disturbances();

	private final ConfigurationCheck check = new ConfigurationCheck();

	private int nextId;

	@Test
	void addedRouteOrKeyThatIsDeniedAfterTheBoundIsFound() {
		change(0);
		deny(0, 1, DUE_MILLIS);
		assertThat(promises()).containsExactly(Promise.CONFIGURATION_IN_TIME);
	}

	@Test
	void addedRouteOrKeyMayBeDeniedUntilTheBound() {
		change(0);
		deny(0, 1, NOT_DUE_MILLIS);
		assertThat(promises()).isEmpty();
	}

	@Test
	void removedRouteOrKeyThatIsAdmittedAfterTheBoundIsFound() {
		changesUpTo(ConfigurationVersions.KEPT);
		admit(0, 1, ConfigurationVersions.KEPT + DUE_MILLIS);
		assertThat(promises()).containsExactly(Promise.CONFIGURATION_IN_TIME);
	}

	@Test
	void removedRouteOrKeyThatFailedOnTheWayCountsAsAdmitted() {
		changesUpTo(ConfigurationVersions.KEPT);
		probe(0, 1, ConfigurationVersions.KEPT + DUE_MILLIS, 504);
		assertThat(promises()).containsExactly(Promise.CONFIGURATION_IN_TIME);
	}

	@Test
	void refusalForAnotherReasonShowsNoConfiguration() {
		changesUpTo(ConfigurationVersions.KEPT);
		probe(0, 1, ConfigurationVersions.KEPT + DUE_MILLIS, 503);
		assertThat(promises()).isEmpty();
	}

	@Test
	void newerVersionThatIsNotYetDueMayDeny() {
		changesUpTo(ConfigurationVersions.KEPT - 1);
		change(DUE_MILLIS);
		deny(0, 1, DUE_MILLIS + 100);
		assertThat(promises()).isEmpty();
	}

	@Test
	void disturbanceBetweenAcknowledgementAndContactExcusesNothing() {
		change(0);
		Disturbances.Span span = this.disturbances.beginGateway(0);
		span.end();
		deny(0, 1, Disturbances.CONTACT_MILLIS + DUE_MILLIS);
		assertThat(promises()).containsExactly(Promise.CONFIGURATION_IN_TIME);
	}

	@Test
	void gatewayOutOfTouchMayAnswerByAnOlderVersion() {
		change(0);
		Disturbances.Span span = this.disturbances.beginGateway(0);
		span.end();
		deny(0, 1, DUE_MILLIS);
		assertThat(promises()).isEmpty();
	}

	@Test
	void versionThatAnEndpointSawMayNotGoBackOutOfTouch() {
		change(0);
		this.disturbances.beginAll();
		admit(0, 1, 100);
		deny(0, 1, 400);
		assertThat(promises()).containsExactly(Promise.CONFIGURATION_NEVER_BACK);
	}

	@Test
	void versionMayBeDeniedRightBehindItsEffectAndInAnotherProcess() {
		change(0);
		this.disturbances.beginAll();
		admit(0, 1, 100);
		deny(0, 1, 300);
		deny(0, SECOND_PROCESS, 400);
		assertThat(promises()).isEmpty();
	}

	private List<Promise> promises() {
		return this.check.check(this.disturbances).stream().map(Finding::promise).toList();
	}

	private void changesUpTo(int last) {
		for (int index = 0; index <= last; index++) {
			change(index);
		}
	}

	private void change(long millis) {
		int index = this.check.versions().begin(this.start + millis);
		this.check.versions().accepted(index, this.start + millis);
	}

	private void deny(int version, int incarnation, long millis) {
		probe(version, incarnation, millis, 401);
	}

	private void admit(int version, int incarnation, long millis) {
		RequestStory story = probe(version, incarnation, millis, 200);
		story.arrived(new EndpointRequest("e", story.request().id(), "GET", story.request().target(), "",
				EmulatedSettings.WORKSPACE, "", "", List.of()), this.start + millis);
	}

	private RequestStory probe(int version, int incarnation, long millis, int status) {
		this.nextId++;
		EmulatedRequest request = new EmulatedRequest("GET", "/look/" + this.nextId, "r" + this.nextId, "",
				ConfigurationVersions.key(version));
		RequestStory story = new RequestStory(RequestKind.LOOK, request, 0, this.start + millis);
		story.answered(new CallerAnswer(status, Map.of(), "", true), this.start + millis + 1);
		this.check.add(new Probe(story, version, incarnation));
		return story;
	}

}
