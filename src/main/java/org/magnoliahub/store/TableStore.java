package org.magnoliahub.store;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;

/**
 * Transactional table service of the platform. Reads are linearizable. Every operation
 * can fail with a {@link StoreException}.
 */
public interface TableStore {

	/**
	 * Reads one row.
	 * @param key key of the row
	 * @return the row, empty if it does not exist
	 */
	Single<Optional<Row>> read(RowKey key);

	/**
	 * Reads rows of a table in ascending order of key.
	 * @param table name of the table
	 * @param fromKey lower bound of the keys, inclusive; empty to read from the start
	 * @param limit maximum number of rows, at least 1
	 * @return the rows, possibly empty
	 */
	Single<List<Row>> scan(String table, String fromKey, int limit);

	/**
	 * Commits a transaction atomically.
	 * @param transaction the transaction
	 * @return whether it was committed or a condition did not hold
	 */
	Single<TransactionResult> commit(Transaction transaction);

}
