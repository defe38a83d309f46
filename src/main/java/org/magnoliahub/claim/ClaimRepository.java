package org.magnoliahub.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.time.TimerService;

/**
 * Claims in the table service. All methods are called on the event loop, and all results
 * arrive within their budget. A disposed call can still take effect.
 */
public final class ClaimRepository {

	private static final int FAILURES_UNTIL_UNAVAILABLE = 3;

	// A store that is down is tried again once per pause, so that it is noticed when it
	// is
	// back.
	private static final Duration UNAVAILABLE_PAUSE = Duration.ofSeconds(1);

	private final TableStore store;

	private final TimerService timers;

	private final GroupCommit writes;

	private ClaimRepository(TableStore store, TimerService timers, GroupCommit writes) {
		this.store = store;
		this.timers = timers;
		this.writes = writes;
	}

	/**
	 * Creates a repository.
	 * @param store the table service
	 * @param timers measures budgets and backoff
	 * @param random jitter of the backoff
	 * @param settings the settings
	 * @return the repository
	 */
	public static ClaimRepository of(TableStore store, TimerService timers, RandomGenerator random,
			ClaimSettings settings) {
		return new ClaimRepository(store, timers, new GroupCommit(store, timers, random, settings));
	}

	/**
	 * Inserts a claim unless its key is claimed.
	 * @param claim the claim, open or already assigned, with an owner token that no other
	 * call used
	 * @param budget longest time until the result, positive
	 * @return the result, never an error
	 * @throws IllegalArgumentException if the budget is not positive
	 */
	public Single<AcquireResult> acquire(Claim claim, Duration budget) {
		return submit(claim, ClaimWrite.ABSENT, budget).map((result) -> acquireResult(claim, result));
	}

	/**
	 * Replaces a claim if it was not changed since a revision.
	 * @param claim the new content; after a takeover with a new owner token
	 * @param expectedRevision revision of the content that it replaces, at least 1
	 * @param budget longest time until the result, positive
	 * @return the result, never an error
	 * @throws IllegalArgumentException if the budget is not positive or the revision
	 * below 1
	 */
	public Single<UpdateResult> update(Claim claim, long expectedRevision, Duration budget) {
		Arguments.requireRange(expectedRevision, 1, Long.MAX_VALUE, "expected revision");
		return submit(claim, expectedRevision, budget).map((result) -> updateResult(claim, result));
	}

	/**
	 * Reads a claim.
	 * @param workspace name of the workspace
	 * @param idempotencyKey the caller's key
	 * @param budget longest time until the result, positive
	 * @return the claim, empty if there is none; {@link StoreException} if the store did
	 * not answer within the budget
	 * @throws IllegalArgumentException if the budget is not positive
	 */
	public Single<Optional<StoredClaim>> find(String workspace, String idempotencyKey, Duration budget) {
		requirePositive(budget);
		RowKey key = ClaimTables.claimKey(workspace, idempotencyKey);
		Single<Optional<StoredClaim>> deadline = this.timers.after(budget)
			.andThen(Single.error(() -> new StoreException("claim was not read in time", false)));
		return Single.ambArray(readRow(key, 1).map((row) -> row.map(ClaimRepository::stored)), deadline);
	}

	/**
	 * Returns whether the store answered lately. While it does not, requests that need a
	 * claim can be refused without a wait; one call per second is still let through.
	 * @return {@code false} after three transactions in a row failed, until one succeeds
	 * or a second has passed since the last failure
	 */
	public boolean isStoreAvailable() {
		return this.writes.isStoreAvailable(FAILURES_UNTIL_UNAVAILABLE, UNAVAILABLE_PAUSE);
	}

	private Single<Optional<Row>> readRow(RowKey key, int attempt) {
		return this.writes.withTimeout(this.store.read(key), false)
			.onErrorResumeNext(
					(error) -> (error instanceof StoreException) ? this.timers.after(this.writes.backoff(attempt))
						.andThen(Single.defer(() -> readRow(key, attempt + 1))) : Single.error(error));
	}

	private Single<ClaimWrite.Result> submit(Claim claim, long expectedRevision, Duration budget) {
		requirePositive(budget);
		RowKey key = ClaimTables.claimKey(claim.workspace(), claim.idempotencyKey());
		return this.writes.submit(key, ClaimCodec.encode(claim), expectedRevision, budget);
	}

	private static void requirePositive(Duration budget) {
		if (budget.isZero() || budget.isNegative()) {
			throw new IllegalArgumentException("budget must be positive, but was " + budget);
		}
	}

	private static StoredClaim stored(Row row) {
		return new StoredClaim(ClaimCodec.decode(row.value()), row.revision());
	}

	private static AcquireResult acquireResult(Claim claim, ClaimWrite.Result result) {
		if (result instanceof ClaimWrite.Result.Written written) {
			return new AcquireResult.Acquired(new StoredClaim(claim, written.revision()));
		}
		if (result instanceof ClaimWrite.Result.Conflict present) {
			return new AcquireResult.Existing(stored(present.row()));
		}
		if (result instanceof ClaimWrite.Result.Unavailable unavailable) {
			return new AcquireResult.Unavailable(unavailable.effectPossible(), unavailable.detail());
		}
		throw new IllegalStateException("an insert cannot end with " + result);
	}

	private static UpdateResult updateResult(Claim claim, ClaimWrite.Result result) {
		if (result instanceof ClaimWrite.Result.Written written) {
			return new UpdateResult.Updated(new StoredClaim(claim, written.revision()));
		}
		if (result instanceof ClaimWrite.Result.Conflict present) {
			return new UpdateResult.Conflict(stored(present.row()));
		}
		if (result instanceof ClaimWrite.Result.Unavailable unavailable) {
			return new UpdateResult.Unavailable(unavailable.effectPossible(), unavailable.detail());
		}
		return new UpdateResult.Missing();
	}

}
