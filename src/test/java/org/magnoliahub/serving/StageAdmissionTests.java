package org.magnoliahub.serving;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a burst in which all requests are admitted and none meets its latency
 * objective, and against admitting requests that cannot complete before their timeout.
 */
class StageAdmissionTests {

	private static StageAdmission.Estimate estimate(long wait, long objective, long callerTimeout, int priority) {
		return new StageAdmission.Estimate(wait, 1_000, 600, objective, callerTimeout, priority);
	}

	@ParameterizedTest
	@CsvSource({ "200,100,8000,0,true", "900,2000,8000,0,true", "1000,2000,8000,0,true", "1100,2000,8000,0,false" })
	void requestIsAdmittedIfQueuesAreShortOrItCanMeetItsObjective(long wait, long objective, long callerTimeout,
			int priority, boolean admitted) {
		assertThat(StageAdmission.isAdmitted(estimate(wait, objective, callerTimeout, priority))).isEqualTo(admitted);
	}

	@Test
	void lessUrgentRequestIsRefusedAtAShorterWait() {
		assertThat(StageAdmission.isAdmitted(estimate(800, 2_000, 8_000, 0))).isTrue();
		assertThat(StageAdmission.isAdmitted(estimate(800, 2_000, 8_000, 1))).isFalse();
		assertThat(StageAdmission.isAdmitted(estimate(500, 2_000, 8_000, 2))).isTrue();
	}

	@Test
	void requestThatCannotCompleteBeforeTheCallerTimeoutIsRefused() {
		assertThat(StageAdmission.isAdmitted(estimate(0, 2_000, 599, 0))).isFalse();
		assertThat(StageAdmission.isAdmitted(estimate(0, 2_000, 600, 0))).isTrue();
		assertThat(StageAdmission.isAdmitted(estimate(100, 2_000, 650, 0))).isFalse();
	}

}
