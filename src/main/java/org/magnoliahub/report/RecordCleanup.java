package org.magnoliahub.report;

import java.time.Instant;
import java.time.LocalDate;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.store.ObjectStore;

/**
 * Removes objects of days whose retention has passed, a bounded number at a time. Any
 * number of processes may run it.
 */
public final class RecordCleanup {

	private static final int CONCURRENT_DELETES = 4;

	private final ObjectStore store;

	private final Supplier<Instant> wallTime;

	private final int retentionDays;

	private RecordCleanup(ObjectStore store, Supplier<Instant> wallTime, int retentionDays) {
		this.store = store;
		this.wallTime = wallTime;
		this.retentionDays = retentionDays;
	}

	/**
	 * Creates the cleanup.
	 * @param store the object store
	 * @param wallTime wall time, which determines the present day
	 * @param retentionDays whole days that are kept before the present one, at least 2 so
	 * that the daily report has its data
	 * @return the cleanup
	 * @throws IllegalArgumentException if the number of days is out of range
	 */
	public static RecordCleanup of(ObjectStore store, Supplier<Instant> wallTime, int retentionDays) {
		Arguments.requireRange(retentionDays, 2, 3_650, "retention in days");
		return new RecordCleanup(store, wallTime, retentionDays);
	}

	/**
	 * Removes the oldest objects that are due.
	 * @param maximumObjects most objects removed, at least 1
	 * @return the number of objects removed; an error if the store fails, after which a
	 * later call continues
	 */
	public Single<Integer> run(int maximumObjects) {
		LocalDate oldestKept = RecordKey.dayOf(this.wallTime.get()).minusDays(this.retentionDays);
		return this.store.list(RecordKey.PREFIX, "", maximumObjects)
			.flatMap((keys) -> Flowable.fromIterable(keys)
				.filter((key) -> RecordKey.parse(key).filter((parsed) -> parsed.day().isBefore(oldestKept)).isPresent())
				.flatMapSingle((key) -> this.store.delete(key).toSingleDefault(1), false, CONCURRENT_DELETES)
				.reduce(0, Integer::sum));
	}

}
