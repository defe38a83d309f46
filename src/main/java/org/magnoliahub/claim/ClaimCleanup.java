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
 * Removes claims whose retention time has passed, a bounded number at a time. Any number
 * of processes may run it. Claims with a final outcome and claims that nothing was sent
 * for are removed. Others may have run, so they stay, and are examined again a retention
 * time later. A claim that was resolved only then stays for one more.
 */
public final class ClaimCleanup {

	// Three writes per claim at most: claim, old expiry row, new expiry row.
	private static final int CLAIMS_PER_TRANSACTION = Transaction.MAXIMUM_WRITES / 3;

	private static final String UNRESOLVED = "{\"unresolved\":true}";

	private static final String RESOLVED = "{\"unresolved\":false}";

	private final TableStore store;

	private final TimerService timers;

	private final ClaimSettings settings;

	private @Nullable Row observedEpoch;

	private long observedAtNanos;

	private ClaimCleanup(TableStore store, TimerService timers, ClaimSettings settings) {
		this.store = store;
		this.timers = timers;
		this.settings = settings;
	}

	/**
	 * Creates the cleanup.
	 * @param store the table service
	 * @param timers measures the length of retention buckets
	 * @param settings the settings, with the same retention in all processes
	 * @return the cleanup
	 */
	public static ClaimCleanup of(TableStore store, TimerService timers, ClaimSettings settings) {
		return new ClaimCleanup(store, timers, settings);
	}

	/**
	 * Advances the epoch if it is due and examines the oldest claims. To be called
	 * several times per retention bucket, one call at a time.
	 * @param maximumClaims most claims examined, at least 1
	 * @return the number of claims examined, less than the maximum if no more are due;
	 * {@link org.magnoliahub.store.StoreException} if the store fails, after which a
	 * later call continues
	 * @throws IllegalArgumentException if the maximum is below 1
	 */
	public Single<Integer> run(int maximumClaims) {
		Arguments.requireRange(maximumClaims, 1, Integer.MAX_VALUE, "claims to examine");
		return this.store.read(ClaimTables.EPOCH).flatMap((epoch) -> {
			if (epoch.isEmpty()) {
				return Single.just(0);
			}
			return advance(epoch.get()).andThen(examine(ClaimTables.epoch(epoch.get()), maximumClaims));
		});
	}

	private Completable advance(Row epoch) {
		if (this.observedEpoch == null || this.observedEpoch.revision() != epoch.revision()) {
			this.observedEpoch = epoch;
			this.observedAtNanos = this.timers.nanoTime();
			return Completable.complete();
		}
		if (this.timers.nanoTime() - this.observedAtNanos < this.settings.retentionBucket().toNanos()) {
			return Completable.complete();
		}
		String next = Long.toString(ClaimTables.epoch(epoch) + 1);
		// The condition makes the epoch advance once even if several processes try or the
		// answer is lost.
		return this.store
			.commit(new Transaction(List.of(new Condition.RevisionEquals(ClaimTables.EPOCH, epoch.revision())),
					List.of(new Write.Put(ClaimTables.EPOCH, next))))
			.doOnSuccess((result) -> {
				if (result instanceof TransactionResult.Committed committed) {
					this.observedEpoch = new Row(ClaimTables.EPOCH, next, committed.revision());
					this.observedAtNanos = this.timers.nanoTime();
				}
			})
			.ignoreElement();
	}

	private Single<Integer> examine(long epoch, int maximumClaims) {
		return this.store.scan(ClaimTables.EXPIRY, "", maximumClaims).flatMap((expiries) -> {
			// An insert can come at the end of its bucket, which therefore does not
			// count.
			long newestDue = epoch - this.settings.retentionBuckets() - 1;
			List<Row> due = expiries.stream().filter((row) -> ClaimTables.epochOfExpiry(row) <= newestDue).toList();
			// A batch that conflicts counts as 0; the next call sees its changed rows.
			return Flowable.fromIterable(due)
				.concatMapSingle((expiry) -> this.store.read(ClaimTables.claimKeyOfExpiry(expiry))
					.map((claim) -> new ExpiredClaim(expiry, claim)))
				.buffer(CLAIMS_PER_TRANSACTION)
				.concatMapSingle((claims) -> this.store.commit(transaction(claims, epoch))
					.map((result) -> (result instanceof TransactionResult.Committed) ? claims.size() : 0))
				.reduce(0, Integer::sum);
		});
	}

	private static Transaction transaction(List<ExpiredClaim> claims, long epoch) {
		List<Condition> conditions = new ArrayList<>();
		List<Write> writes = new ArrayList<>();
		for (ExpiredClaim due : claims) {
			Row expiry = due.expiry();
			RowKey claimKey = ClaimTables.claimKeyOfExpiry(expiry);
			conditions.add(new Condition.RevisionEquals(expiry.key(), expiry.revision()));
			writes.add(new Write.Delete(expiry.key()));
			if (due.claim().isEmpty()) {
				continue;
			}
			Row claim = due.claim().get();
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
			// A newer version wrote it. It stays until a process that reads it comes by.
			return false;
		}
	}

	/**
	 * A claim whose time has come.
	 *
	 * @param expiry its expiry row
	 * @param claim its row, empty if it is gone
	 */
	private record ExpiredClaim(Row expiry, Optional<Row> claim) {
	}

}
