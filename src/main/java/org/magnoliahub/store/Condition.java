package org.magnoliahub.store;

/**
 * Condition on one row. A transaction commits only if all its conditions hold.
 */
public sealed interface Condition {

	/**
	 * Returns the key of the row.
	 * @return the key
	 */
	RowKey key();

	/**
	 * The row does not exist.
	 *
	 * @param key key of the row
	 */
	record Absent(RowKey key) implements Condition {
	}

	/**
	 * The row exists and was last written at a given revision.
	 *
	 * @param key key of the row
	 * @param revision the revision
	 */
	record RevisionEquals(RowKey key, long revision) implements Condition {
	}

}
