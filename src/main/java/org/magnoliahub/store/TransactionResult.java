package org.magnoliahub.store;

import java.util.List;

/**
 * Result of a transaction in the table service.
 */
public sealed interface TransactionResult {

	/**
	 * All writes took effect.
	 *
	 * @param revision revision of the store after the commit, and of each written row
	 */
	record Committed(long revision) implements TransactionResult {
	}

	/**
	 * A condition did not hold, so nothing was written.
	 *
	 * @param currentRows current rows of all conditions, without rows that do not exist
	 */
	record Conflict(List<Row> currentRows) implements TransactionResult {

		public Conflict {
			currentRows = List.copyOf(currentRows);
		}

	}

}
