package org.magnoliahub.serving;

import java.util.List;

/**
 * A call to a stage endpoint.
 *
 * @param endpoint the endpoint
 * @param tasks pieces in the order of the call
 * @param expectedMillis expected time, in milliseconds
 * @param endpointCall the endpoint's record of the call
 */
public record StageBatch(EndpointState endpoint, List<StageTask> tasks, double expectedMillis,
		EndpointCall endpointCall) {

	/**
	 * Copies the list.
	 */
	public StageBatch {
		tasks = List.copyOf(tasks);
	}

	/**
	 * Returns how long the call is still expected to take.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, zero if it takes longer than expected
	 */
	double remainingMillis(long now) {
		double expected = this.expectedMillis * this.endpoint.speedFactor(now);
		return Math.max(0, this.endpointCall.sentMillis() + expected - now);
	}

	long resultBytes() {
		long bytes = 0;
		for (StageTask task : this.tasks) {
			bytes += task.job().resultBytes();
		}
		return bytes;
	}

}
