package org.magnoliahub.lease;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.TableStore;

/**
 * Reads the leases of all duties.
 */
public final class LeaseDirectory {

	private final TableStore store;

	private LeaseDirectory(TableStore store) {
		this.store = store;
	}

	/**
	 * Creates a directory.
	 * @param store store that holds the leases
	 * @return the directory
	 */
	public static LeaseDirectory of(TableStore store) {
		return new LeaseDirectory(store);
	}

	/**
	 * Reads the leases.
	 * @param limit maximum number of leases, at least 1
	 * @return the leases in order of duty; fails with
	 * {@link org.magnoliahub.store.StoreException} if the store fails
	 */
	public Single<List<Lease>> list(int limit) {
		return this.store.scan(LeaseManager.TABLE, "", limit).map((rows) -> {
			List<Lease> leases = new ArrayList<>();
			for (Row row : rows) {
				leases.add(lease(row));
			}
			return leases;
		});
	}

	private static Lease lease(Row row) throws JsonProcessingException {
		LeaseManager.LeaseRow lease = LeaseManager.decode(row);
		return new Lease(row.key().key(), lease.holder(), lease.fencingNumber(), lease.renewals());
	}

	/**
	 * The state of one lease, as stored.
	 *
	 * @param duty name of the duty that it protects
	 * @param holder name of the holder, empty if the lease was released
	 * @param fencingNumber its fencing number
	 * @param renewals number of renewals by this holder
	 */
	public record Lease(String duty, String holder, long fencingNumber, long renewals) {

	}

}
