package org.magnoliahub.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against servers that leave no descriptors for files and outgoing connections.
 */
class DescriptorLimitsTests {

	private static int sum(DescriptorLimits limits) {
		return limits.callers() + 2 * limits.status() + limits.gateways() + limits.gateways() / 4;
	}

	@Test
	void smallestMachineKeepsDescriptorsForOutgoingConnections() {
		DescriptorLimits limits = DescriptorLimits.of(2_069);
		assertThat(limits.callers()).isEqualTo(934);
		assertThat(sum(limits)).isLessThan(2_069 - 200 - 400);
	}

	@Test
	void fewDescriptorsLeaveSomeConnectionsToEachServer() {
		DescriptorLimits limits = DescriptorLimits.of(256);
		assertThat(limits.status()).isPositive();
		assertThat(sum(limits)).isLessThan(256);
	}

}
