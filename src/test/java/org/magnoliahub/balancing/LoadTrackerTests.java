package org.magnoliahub.balancing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a choice by the noise of single reports, or by figures that are no
 * longer stated.
 */
class LoadTrackerTests {

	private final LoadTracker tracker = new LoadTracker();

	@Test
	void reportsInQuickSuccessionAreSmoothed() {
		this.tracker.recordReport(0, 0, 100, 0);
		this.tracker.recordReport(0, 0, 400, 10);
		assertThat(this.tracker.slowdown(10)).isLessThan(1.1);
		this.tracker.recordReport(0, 0, 400, 5_000);
		assertThat(this.tracker.slowdown(5_000)).isCloseTo(4, within(0.1));
	}

	@Test
	void absentSlowdownCountsAsUsualSpeed() {
		this.tracker.recordReport(0, 0, 400, 0);
		this.tracker.recordReport(0, 0, 0, 5_000);
		assertThat(this.tracker.slowdown(5_000)).isCloseTo(1, within(0.01));
	}

	@Test
	void balancedLoadEndsWithTheFourthFigure() {
		assertThat(this.tracker.recordReport(0, 0, 0, 0)).isFalse();
		assertThat(this.tracker.recordReport(0, 0, 100, 100)).isTrue();
		assertThat(this.tracker.recordReport(0, 0, 0, 5_000)).isFalse();
		assertThat(this.tracker.statesSlowdown(5_000)).isTrue();
		assertThat(this.tracker.recordReport(0, 0, 0, 10_101)).isTrue();
		assertThat(this.tracker.statesSlowdown(10_101)).isFalse();
	}

	@Test
	void ownRequestsInAReportAreNotCountedTwice() {
		this.tracker.recordReport(9, 4, 100, 0);
		this.tracker.recordSent(0);
		Candidate candidate = this.tracker.candidate(8, 5, 0, 1_000);
		assertThat(candidate.ownRequests() + candidate.otherRequests()).isEqualTo(10);
		assertThat(candidate.ageMillis()).isEqualTo(1_000);
	}

	@Test
	void permanentlySlowMachineIsRecognizedByItsResponses() {
		this.tracker.recordReport(0, 0, 100, 0);
		for (int response = 0; response < 60; response++) {
			this.tracker.recordResponse(2, 0);
		}
		assertThat(this.tracker.slowdown(0)).isCloseTo(2, within(0.1));
	}

}
