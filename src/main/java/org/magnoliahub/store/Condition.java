package org.magnoliahub.store;

/**
 * Condition on one row that must hold for a transaction to commit.
 */
public sealed interface Condition {

	/**
	 * Returns the row.
	 * @return its key
	 */
	RowKey key();

	/**
	 * The row does not exist.
	 *
	 * @param key the row
	 */
	record Absent(RowKey key) implements Condition {
	}

	/**
	 * The row was last written at a given revision.
	 *
	 * @param key the row
	 * @param revision the revision
	 */
	record RevisionEquals(RowKey key, long revision) implements Condition {
	}

}
