package org.magnoliahub.platform.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Changes of an emulated store that a restoration from an older backup undoes. Not
 * thread-safe.
 */
final class ChangeHistory {

	private static final int MAXIMUM_CHANGES = 20_000;

	private final Deque<Change> changes = new ArrayDeque<>();

	/**
	 * Records a change that is being made.
	 * @param undo takes the change back
	 * @param revisionBefore revision of the store before the change
	 */
	void add(Runnable undo, long revisionBefore) {
		this.changes.addLast(new Change(System.nanoTime(), undo, revisionBefore));
		if (this.changes.size() > MAXIMUM_CHANGES) {
			this.changes.removeFirst();
		}
	}

	/**
	 * Undoes the newest changes.
	 * @param millis age of the oldest change to undo, in milliseconds
	 * @param revision current revision of the store
	 * @return the revision afterwards
	 */
	long undo(long millis, long revision) {
		long oldest = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(millis);
		long restored = revision;
		while (!this.changes.isEmpty() && this.changes.peekLast().at() >= oldest) {
			Change change = this.changes.pollLast();
			change.undo().run();
			restored = change.revisionBefore();
		}
		return restored;
	}

	private record Change(long at, Runnable undo, long revisionBefore) {
	}

}
