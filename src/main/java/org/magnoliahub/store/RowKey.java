package org.magnoliahub.store;

import org.magnoliahub.model.Arguments;

/**
 * Key of a row in the table service.
 *
 * @param table name of the table, not blank, without a slash
 * @param key key of the row in the table, not blank
 */
public record RowKey(String table, String key) {

	/**
	 * Validates both components.
	 * @throws IllegalArgumentException if a component is blank or the table name contains
	 * a slash
	 */
	public RowKey {
		Arguments.requireText(table, "table name");
		Arguments.requireText(key, "row key");
		if (table.indexOf('/') >= 0) {
			throw new IllegalArgumentException("table name must not contain /, but was " + table);
		}
	}

}
