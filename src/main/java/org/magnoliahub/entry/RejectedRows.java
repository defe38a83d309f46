package org.magnoliahub.entry;

import org.magnoliahub.platform.StoredRow;

/**
 * Logs the rows of a table that cannot be read. They count as absent, so that they do not
 * lose the others.
 */
final class RejectedRows {

	private final EntryLog log;

	private final String table;

	/**
	 * Creates a log for a table.
	 * @param log the log
	 * @param table the table
	 */
	RejectedRows(EntryLog log, String table) {
		this.log = log;
		this.table = table;
	}

	/**
	 * Logs a row.
	 * @param row the row
	 * @param reason why it cannot be read
	 */
	void add(StoredRow row, String reason) {
		this.log.event(EntryEvent.ROW_REJECTED)
			.field("table", this.table)
			.field("key", row.key())
			.field("revision", row.revision())
			.field("reason", reason)
			.write();
	}

	/**
	 * Logs a row that has another form.
	 * @param row the row
	 */
	void addOtherForm(StoredRow row) {
		add(row, "not in the expected form");
	}

}
