package org.magnoliahub.store;

import java.util.List;

import org.magnoliahub.model.Arguments;

/**
 * Writes that take effect together if all conditions hold.
 *
 * @param conditions the conditions, possibly none
 * @param writes the writes on distinct rows, 1 to {@value #MAXIMUM_WRITES}
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

	/** Most writes of one transaction. */
	public static final int MAXIMUM_WRITES = 100;

	/**
	 * Copies the lists and checks their sizes.
	 * @throws IllegalArgumentException if there is no write or too many
	 */
	public Transaction {
		conditions = List.copyOf(conditions);
		writes = List.copyOf(writes);
		Arguments.requireRange(writes.size(), 1, MAXIMUM_WRITES, "number of writes");
	}

}
