package org.magnoliahub.serving;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a burst in which all requests start and none is in time, and against
 * requests that are kept although they cannot be served.
 */
class StageAdmissionTests {

	private static StageAdmission.Estimate request(long wait, long objective, long patience, int priority) {
		return new StageAdmission.Estimate(wait, 1_000, 600, objective, patience, priority);
	}

	@ParameterizedTest
	@CsvSource({ "200,100,8000,0,true", "900,2000,8000,0,true", "1000,2000,8000,0,true", "1100,2000,8000,0,false" })
	void requestStartsIfQueuesAreShortOrItCanBeInTime(long wait, long objective, long patience, int priority,
			boolean starts) {
		assertThat(StageAdmission.isAdmitted(request(wait, objective, patience, priority))).isEqualTo(starts);
	}

	@Test
	void lessUrgentRankGivesWayFirst() {
		assertThat(StageAdmission.isAdmitted(request(800, 2_000, 8_000, 0))).isTrue();
		assertThat(StageAdmission.isAdmitted(request(800, 2_000, 8_000, 1))).isFalse();
		assertThat(StageAdmission.isAdmitted(request(500, 2_000, 8_000, 2))).isTrue();
	}

	@Test
	void requestWhoseCallerLeavesBeforeItsStagesCanEndIsRefused() {
		assertThat(StageAdmission.isAdmitted(request(0, 2_000, 599, 0))).isFalse();
		assertThat(StageAdmission.isAdmitted(request(0, 2_000, 600, 0))).isTrue();
		assertThat(StageAdmission.isAdmitted(request(100, 2_000, 650, 0))).isFalse();
	}

}
