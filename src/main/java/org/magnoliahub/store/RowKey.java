package org.magnoliahub.store;

import org.magnoliahub.model.Arguments;

/**
 * Key of a row in the table service.
 *
 * @param table the table's name, not blank, without a slash
 * @param key the row's key in the table, not blank
 */
public record RowKey(String table, String key) {

	/**
	 * Checks both parts.
	 * @throws IllegalArgumentException if a part is blank or the table has a slash
	 */
	public RowKey {
		Arguments.requireText(table, "table name");
		Arguments.requireText(key, "row key");
		if (table.indexOf('/') >= 0) {
			throw new IllegalArgumentException("table name must not contain /, but was " + table);
		}
	}

}
