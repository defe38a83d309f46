package org.magnoliahub.store;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;

/**
 * The platform's transactional table service. Every result can be a
 * {@link StoreException}; reads are linearizable.
 */
public interface TableStore {

	/**
	 * Reads one row.
	 * @param key the row
	 * @return the row, empty if it does not exist
	 */
	Single<Optional<Row>> read(RowKey key);

	/**
	 * Reads rows of a table in ascending order of key.
	 * @param table the table
	 * @param fromKey smallest key wanted, inclusive; empty text for the start
	 * @param limit most rows wanted, at least 1
	 * @return the rows, possibly none
	 */
	Single<List<Row>> scan(String table, String fromKey, int limit);

	/**
	 * Commits a transaction, or nothing of it.
	 * @param transaction the transaction
	 * @return whether it was committed
	 */
	Single<TransactionResult> commit(Transaction transaction);

}
