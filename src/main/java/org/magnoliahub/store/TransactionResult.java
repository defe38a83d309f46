package org.magnoliahub.store;

import java.util.List;

/**
 * Answer of the table service to a transaction.
 */
public sealed interface TransactionResult {

	/**
	 * All writes took effect.
	 *
	 * @param revision revision of the store after the commit, carried by each written row
	 */
	record Committed(long revision) implements TransactionResult {
	}

	/**
	 * A condition did not hold; nothing was written.
	 *
	 * @param current the present rows of all conditions, without the absent ones
	 */
	record Conflict(List<Row> current) implements TransactionResult {

		public Conflict {
			current = List.copyOf(current);
		}

	}

}
