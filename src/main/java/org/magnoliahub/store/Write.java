package org.magnoliahub.store;

/**
 * One write of a transaction.
 */
public sealed interface Write {

	/**
	 * Returns the row.
	 * @return its key
	 */
	RowKey key();

	/**
	 * Creates or replaces a row.
	 *
	 * @param key the row
	 * @param value its new content, JSON text
	 */
	record Put(RowKey key, String value) implements Write {
	}

	/**
	 * Removes a row, which may be absent.
	 *
	 * @param key the row
	 */
	record Delete(RowKey key) implements Write {
	}

}
