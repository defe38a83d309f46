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
 * Stores claims in the table service. All methods must be called on the event loop, and
 * all results arrive within their budget. A call can still take effect after its result
 * is disposed.
 */
public final class ClaimRepository {

	private static final int FAILURES_UNTIL_UNAVAILABLE = 3;

	// While the store is unavailable, one call per interval is let through to detect its
	// recovery.
	private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

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
	 * @param random random numbers for the jitter of the backoff
	 * @param settings the settings
	 * @return the repository
	 */
	public static ClaimRepository of(TableStore store, TimerService timers, RandomGenerator random,
			ClaimSettings settings) {
		return new ClaimRepository(store, timers, new GroupCommit(store, timers, random, settings));
	}

	/**
	 * Inserts a claim unless one exists for its key.
	 * @param claim the claim, open or already assigned, with an owner token that no other
	 * call has used
	 * @param budget maximum time until the result, positive
	 * @return the result; never fails
	 * @throws IllegalArgumentException if the budget is not positive
	 */
	public Single<AcquireResult> acquire(Claim claim, Duration budget) {
		return submit(claim, ClaimWrite.ABSENT, budget).map((result) -> toAcquireResult(claim, result));
	}

	/**
	 * Replaces a claim if it has not changed since the expected revision.
	 * @param claim the new content, with a new owner token after a takeover
	 * @param expectedRevision revision of the content to replace, at least 1
	 * @param budget maximum time until the result, positive
	 * @return the result; never fails
	 * @throws IllegalArgumentException if the budget is not positive or the revision
	 * below 1
	 */
	public Single<UpdateResult> update(Claim claim, long expectedRevision, Duration budget) {
		Arguments.requireRange(expectedRevision, 1, Long.MAX_VALUE, "expected revision");
		return submit(claim, expectedRevision, budget).map((result) -> toUpdateResult(claim, result));
	}

	/**
	 * Reads a claim.
	 * @param workspace name of the workspace
	 * @param idempotencyKey idempotency key of the caller
	 * @param budget maximum time until the result, positive
	 * @return the claim, empty if there is none; fails with a {@link StoreException} if
	 * the store did not respond within the budget
	 * @throws IllegalArgumentException if the budget is not positive
	 */
	public Single<Optional<StoredClaim>> find(String workspace, String idempotencyKey, Duration budget) {
		requirePositive(budget);
		RowKey key = ClaimTables.claimKey(workspace, idempotencyKey);
		Single<Optional<StoredClaim>> deadline = this.timers.after(budget)
			.andThen(Single.error(() -> new StoreException("claim was not read in time", false)));
		return Single.ambArray(readWithRetry(key, 1).map((row) -> row.map(ClaimRepository::toStoredClaim)), deadline);
	}

	/**
	 * Returns whether the store is considered available. While it is not, requests that
	 * need a claim can be refused without waiting; one call per second is still let
	 * through.
	 * @return {@code false} after three consecutive transactions failed, until one
	 * succeeds or a second has passed since the last failure
	 */
	public boolean isStoreAvailable() {
		return this.writes.isStoreAvailable(FAILURES_UNTIL_UNAVAILABLE, PROBE_INTERVAL);
	}

	private Single<Optional<Row>> readWithRetry(RowKey key, int attempt) {
		return this.writes.withTimeout(this.store.read(key), false)
			.onErrorResumeNext(
					(error) -> (error instanceof StoreException) ? this.timers.after(this.writes.backoff(attempt))
						.andThen(Single.defer(() -> readWithRetry(key, attempt + 1))) : Single.error(error));
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

	private static StoredClaim toStoredClaim(Row row) {
		return new StoredClaim(ClaimCodec.decode(row.value()), row.revision());
	}

	private static AcquireResult toAcquireResult(Claim claim, ClaimWrite.Result result) {
		if (result instanceof ClaimWrite.Result.Written written) {
			return new AcquireResult.Acquired(new StoredClaim(claim, written.revision()));
		}
		if (result instanceof ClaimWrite.Result.Conflict conflict) {
			return new AcquireResult.Existing(toStoredClaim(conflict.row()));
		}
		if (result instanceof ClaimWrite.Result.Unavailable unavailable) {
			return new AcquireResult.Unavailable(unavailable.effectPossible(), unavailable.detail());
		}
		throw new IllegalStateException("an insert cannot end with " + result);
	}

	private static UpdateResult toUpdateResult(Claim claim, ClaimWrite.Result result) {
		if (result instanceof ClaimWrite.Result.Written written) {
			return new UpdateResult.Updated(new StoredClaim(claim, written.revision()));
		}
		if (result instanceof ClaimWrite.Result.Conflict conflict) {
			return new UpdateResult.Conflict(toStoredClaim(conflict.row()));
		}
		if (result instanceof ClaimWrite.Result.Unavailable unavailable) {
			return new UpdateResult.Unavailable(unavailable.effectPossible(), unavailable.detail());
		}
		return new UpdateResult.Missing();
	}

}
