package org.magnoliahub.serving;

import java.util.List;

/**
 * Stage tasks that are sent to an endpoint in one call.
 *
 * @param endpoint endpoint that processes the batch
 * @param tasks tasks, in the order in which the call lists their pieces
 * @param expectedMillis expected duration at typical speed, in milliseconds
 * @param endpointCall call that the endpoint's state tracks
 * @param freeBytes free result capacity of the endpoint before the call, as far as the
 * queue knows, in bytes
 */
public record StageBatch(EndpointState endpoint, List<StageTask> tasks, double expectedMillis,
		EndpointCall endpointCall, long freeBytes) {

	/**
	 * Creates a batch with an immutable copy of the tasks.
	 */
	public StageBatch {
		tasks = List.copyOf(tasks);
	}

	/**
	 * Returns the expected remaining duration of the call.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds, zero if the call is overdue
	 */
	double remainingMillis(long now) {
		double expected = this.expectedMillis * this.endpoint.slowdown(now);
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
