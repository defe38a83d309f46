package org.magnoliahub.store;

import java.util.List;

import org.magnoliahub.model.Arguments;

/**
 * Writes that take effect atomically if all conditions hold.
 *
 * @param conditions the conditions, possibly empty
 * @param writes 1 to {@value #MAXIMUM_WRITES} writes to distinct rows
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

	/** Maximum number of writes in one transaction. */
	public static final int MAXIMUM_WRITES = 100;

	/**
	 * Makes immutable copies of the lists and checks the number of writes.
	 * @throws IllegalArgumentException if there are no writes or too many
	 */
	public Transaction {
		conditions = List.copyOf(conditions);
		writes = List.copyOf(writes);
		Arguments.requireRange(writes.size(), 1, MAXIMUM_WRITES, "number of writes");
	}

}
