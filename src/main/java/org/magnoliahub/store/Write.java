package org.magnoliahub.store;

/**
 * One write of a transaction.
 */
public sealed interface Write {

	/**
	 * Returns the key of the row.
	 * @return the key
	 */
	RowKey key();

	/**
	 * Creates or replaces a row.
	 *
	 * @param key key of the row
	 * @param value new content of the row as JSON
	 */
	record Put(RowKey key, String value) implements Write {
	}

	/**
	 * Removes a row. Has no effect if the row does not exist.
	 *
	 * @param key key of the row
	 */
	record Delete(RowKey key) implements Write {
	}

}
