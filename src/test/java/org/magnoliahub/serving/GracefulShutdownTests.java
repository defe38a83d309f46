package org.magnoliahub.serving;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are taken late in a planned stop and then cut.
 */
class GracefulShutdownTests {

	private final GracefulShutdown plan = new GracefulShutdown(8_000);

	@Test
	void runningGatewayTakesAll() {
		assertThat(this.plan.accepts(CallKind.STREAMING, 1_000_000)).isTrue();
		assertThat(this.plan.isOutOfRotation(1_000_000)).isFalse();
	}

	@Test
	void streamIsTakenOnlyWhileConnectionsStillArrive() {
		this.plan.begin(1_000);
		assertThat(this.plan.accepts(CallKind.STREAMING, 3_000)).isTrue();
		assertThat(this.plan.accepts(CallKind.STREAMING, 6_637)).isFalse();
	}

	@Test
	void shortRequestIsTakenLonger() {
		this.plan.begin(1_000);
		assertThat(this.plan.accepts(CallKind.NON_IDEMPOTENT, 6_637)).isTrue();
		assertThat(this.plan.accepts(CallKind.NON_IDEMPOTENT, 8_000)).isFalse();
	}

	@Test
	void processEndsBeforeItIsKilled() {
		this.plan.begin(1_000);
		this.plan.begin(5_000);
		assertThat(this.plan.exitDeadline()).isLessThan(9_000);
		assertThat(this.plan.isOutOfRotation(3_600)).isTrue();
	}

}
