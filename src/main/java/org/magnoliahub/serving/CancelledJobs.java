package org.magnoliahub.serving;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Jobs that were cancelled while pieces of theirs were in a running batch. Their results
 * must be released when they arrive.
 */
final class CancelledJobs {

	private final Set<Key> keys = new HashSet<>();

	/**
	 * Adds a job.
	 * @param origin submitter of the job
	 * @param jobId id of the job at its submitter
	 */
	void add(JobOrigin origin, long jobId) {
		this.keys.add(new Key(origin, jobId));
	}

	boolean contains(StageTask task) {
		return this.keys.contains(Key.of(task));
	}

	/**
	 * Removes the jobs that have no piece in a running batch.
	 * @param running the running batches
	 */
	void retainRunning(Collection<StageBatch> running) {
		Set<Key> live = new HashSet<>();
		running.forEach((batch) -> batch.tasks().forEach((task) -> live.add(Key.of(task))));
		this.keys.retainAll(live);
	}

	private record Key(JobOrigin origin, long jobId) {

		private static Key of(StageTask task) {
			return new Key(task.job().origin(), task.job().jobId());
		}

	}

}
