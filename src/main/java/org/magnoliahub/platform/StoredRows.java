package org.magnoliahub.platform;

import java.util.List;

/**
 * Answer of the store about rows.
 *
 * @param rows the rows
 * @param revision newest revision that the answer takes into account
 * @param incomplete whether more rows follow the last one
 */
public record StoredRows(List<StoredRow> rows, long revision, boolean incomplete) {

	/**
	 * Copies the list.
	 */
	public StoredRows {
		rows = List.copyOf(rows);
	}

}
