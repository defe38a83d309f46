package org.magnoliahub.serving;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepting a request late in a graceful shutdown that the exit of the
 * process then interrupts.
 */
class GracefulShutdownTests {

	private final GracefulShutdown shutdown = new GracefulShutdown(8_000);

	@Test
	void runningGatewayAcceptsAllRequests() {
		assertThat(this.shutdown.accepts(CallKind.STREAMING, 0, 1_000_000)).isTrue();
		assertThat(this.shutdown.isOutOfRotation(1_000_000)).isFalse();
	}

	@Test
	void streamIsAcceptedOnlyUntilTheGatewayIsOutOfRotation() {
		this.shutdown.begin(1_000);
		assertThat(this.shutdown.accepts(CallKind.STREAMING, 0, 3_000)).isTrue();
		assertThat(this.shutdown.accepts(CallKind.STREAMING, 0, 6_637)).isFalse();
	}

	@Test
	void nonStreamingRequestIsAcceptedLonger() {
		this.shutdown.begin(1_000);
		assertThat(this.shutdown.accepts(CallKind.NON_IDEMPOTENT, 0, 6_637)).isTrue();
		assertThat(this.shutdown.accepts(CallKind.NON_IDEMPOTENT, 0, 8_000)).isFalse();
	}

	/** Guards against an order that runs although its answer cannot be given any more. */
	@Test
	void requestThatTakesLongerThanWhatIsLeftIsRefused() {
		this.shutdown.begin(1_000);
		assertThat(this.shutdown.accepts(CallKind.NON_IDEMPOTENT, 2_500, 5_600)).isTrue();
		assertThat(this.shutdown.accepts(CallKind.NON_IDEMPOTENT, 2_500, 5_800)).isFalse();
		assertThat(this.shutdown.accepts(CallKind.IDEMPOTENT, 2_500, 5_800)).isFalse();
	}

	@Test
	void processExitsBeforeItIsKilled() {
		this.shutdown.begin(1_000);
		this.shutdown.begin(5_000);
		assertThat(this.shutdown.exitDeadline()).isLessThan(9_000);
		assertThat(this.shutdown.isOutOfRotation(3_600)).isTrue();
	}

	@Test
	void unsentRequestsAreRefusedAndOthersFailedBeforeTheProcessExits() {
		assertThat(this.shutdown.mustRefuseUnsent(1_000_000)).isFalse();
		this.shutdown.begin(1_000);
		assertThat(this.shutdown.mustRefuseUnsent(7_000)).isFalse();
		assertThat(this.shutdown.mustRefuseUnsent(7_400)).isTrue();
		assertThat(this.shutdown.mustFailUnanswered(8_000)).isFalse();
		assertThat(this.shutdown.mustFailUnanswered(8_300)).isTrue();
		assertThat(this.shutdown.exitDeadline()).isGreaterThan(8_300);
	}

}
