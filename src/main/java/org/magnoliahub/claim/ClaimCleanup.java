package org.magnoliahub.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;
import org.magnoliahub.time.TimerService;

/**
 * Removes claims whose retention period has elapsed, a limited number per call. Any
 * number of processes may run it. Claims with a final outcome and claims for which
 * nothing was sent are removed. The requests of all other claims may have run, so these
 * claims are kept and examined again after another retention period. A claim that is
 * found resolved only then is kept for one more period.
 */
public final class ClaimCleanup {

	// Each claim needs up to 3 writes: the claim, its old expiry row and its new expiry
	// row.
	private static final int CLAIMS_PER_TRANSACTION = Transaction.MAXIMUM_WRITES / 3;

	private static final String UNRESOLVED = "{\"unresolved\":true}";

	private static final String RESOLVED = "{\"unresolved\":false}";

	private final TableStore store;

	private final TimerService timers;

	private final ClaimSettings settings;

	private @Nullable Row observedEpoch;

	private long epochObservedNanos;

	private ClaimCleanup(TableStore store, TimerService timers, ClaimSettings settings) {
		this.store = store;
		this.timers = timers;
		this.settings = settings;
	}

	/**
	 * Creates the cleanup.
	 * @param store the table service
	 * @param timers measures the length of retention buckets
	 * @param settings the settings; the retention settings must be the same in all
	 * processes
	 * @return the cleanup
	 */
	public static ClaimCleanup of(TableStore store, TimerService timers, ClaimSettings settings) {
		return new ClaimCleanup(store, timers, settings);
	}

	/**
	 * Advances the epoch if a retention bucket has elapsed, and examines the oldest
	 * claims. Must be called several times per retention bucket, without concurrent
	 * calls.
	 * @param maximumClaims maximum number of claims to examine, at least 1
	 * @return the number of claims examined, less than the maximum if no more are due;
	 * fails with a {@link org.magnoliahub.store.StoreException} if the store fails, after
	 * which a later call continues
	 * @throws IllegalArgumentException if the maximum is below 1
	 */
	public Single<Integer> run(int maximumClaims) {
		Arguments.requireRange(maximumClaims, 1, Integer.MAX_VALUE, "claims to examine");
		return this.store.read(ClaimTables.EPOCH).flatMap((epoch) -> {
			if (epoch.isEmpty()) {
				return Single.just(0);
			}
			return advanceEpochIfDue(epoch.get())
				.andThen(examineExpired(ClaimTables.epochNumber(epoch.get()), maximumClaims));
		});
	}

	private Completable advanceEpochIfDue(Row epoch) {
		if (this.observedEpoch == null || this.observedEpoch.revision() != epoch.revision()) {
			this.observedEpoch = epoch;
			this.epochObservedNanos = this.timers.nanoTime();
			return Completable.complete();
		}
		if (this.timers.nanoTime() - this.epochObservedNanos < this.settings.retentionBucket().toNanos()) {
			return Completable.complete();
		}
		String next = Long.toString(ClaimTables.epochNumber(epoch) + 1);
		// The condition ensures that the epoch advances only once, even if several
		// processes try or a response is lost.
		return this.store
			.commit(new Transaction(List.of(new Condition.RevisionEquals(ClaimTables.EPOCH, epoch.revision())),
					List.of(new Write.Put(ClaimTables.EPOCH, next))))
			.doOnSuccess((result) -> {
				if (result instanceof TransactionResult.Committed committed) {
					this.observedEpoch = new Row(ClaimTables.EPOCH, next, committed.revision());
					this.epochObservedNanos = this.timers.nanoTime();
				}
			})
			.ignoreElement();
	}

	private Single<Integer> examineExpired(long epoch, int maximumClaims) {
		return this.store.scan(ClaimTables.EXPIRY, "", maximumClaims).flatMap((expiryRows) -> {
			// A claim may have been inserted at the end of its bucket, so that bucket
			// does not count as retention time.
			long newestExpiredEpoch = epoch - this.settings.retentionBuckets() - 1;
			List<Row> expired = expiryRows.stream()
				.filter((row) -> ClaimTables.epochOfExpiry(row) <= newestExpiredEpoch)
				.toList();
			// A batch with a conflict counts as 0; the next call reads the changed rows.
			return Flowable.fromIterable(expired)
				.concatMapSingle((expiry) -> this.store.read(ClaimTables.claimKeyOfExpiry(expiry))
					.map((claim) -> new ExpiredClaim(expiry, claim)))
				.buffer(CLAIMS_PER_TRANSACTION)
				.concatMapSingle((claims) -> this.store.commit(cleanupTransaction(claims, epoch))
					.map((result) -> (result instanceof TransactionResult.Committed) ? claims.size() : 0))
				.reduce(0, Integer::sum);
		});
	}

	private static Transaction cleanupTransaction(List<ExpiredClaim> claims, long epoch) {
		List<Condition> conditions = new ArrayList<>();
		List<Write> writes = new ArrayList<>();
		for (ExpiredClaim expired : claims) {
			Row expiry = expired.expiry();
			RowKey claimKey = ClaimTables.claimKeyOfExpiry(expiry);
			conditions.add(new Condition.RevisionEquals(expiry.key(), expiry.revision()));
			writes.add(new Write.Delete(expiry.key()));
			if (expired.claim().isEmpty()) {
				continue;
			}
			Row claim = expired.claim().get();
			conditions.add(new Condition.RevisionEquals(claimKey, claim.revision()));
			boolean resolved = isResolved(claim);
			if (resolved && !expiry.value().equals(UNRESOLVED)) {
				writes.add(new Write.Delete(claimKey));
			}
			else {
				writes.add(new Write.Put(ClaimTables.expiryKey(epoch, claimKey), resolved ? RESOLVED : UNRESOLVED));
			}
		}
		return new Transaction(conditions, writes);
	}

	private static boolean isResolved(Row row) {
		try {
			ClaimPhase phase = ClaimCodec.decode(row.value()).phase();
			return phase instanceof ClaimPhase.Open
					|| (phase instanceof ClaimPhase.Finished finished && finished.outcome().isFinal());
		}
		catch (IllegalArgumentException ex) {
			// Written by a newer version. The claim is kept until a process that can
			// decode it examines it.
			return false;
		}
	}

	/**
	 * A claim whose retention period has elapsed.
	 *
	 * @param expiry its expiry row
	 * @param claim its claim row, empty if it no longer exists
	 */
	private record ExpiredClaim(Row expiry, Optional<Row> claim) {
	}

}
