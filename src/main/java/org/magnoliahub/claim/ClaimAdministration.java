package org.magnoliahub.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;

/**
 * Lists claims and settles unknown outcomes on behalf of operators. Every result can fail
 * with a {@link StoreException}.
 */
public final class ClaimAdministration {

	private static final int MAXIMUM_ATTEMPTS = 4;

	private final TableStore store;

	private ClaimAdministration(TableStore store) {
		this.store = store;
	}

	/**
	 * Creates an instance.
	 * @param store the table service
	 * @return the instance
	 */
	public static ClaimAdministration of(TableStore store) {
		return new ClaimAdministration(store);
	}

	/**
	 * Returns a label for the state of a claim.
	 * @param claim the claim
	 * @return {@code open}, {@code assigned} or the label of its outcome
	 */
	public static String stateOf(Claim claim) {
		if (claim.phase() instanceof ClaimPhase.Finished finished) {
			return finished.outcome().label();
		}
		return (claim.phase() instanceof ClaimPhase.Open) ? "open" : "assigned";
	}

	/**
	 * Reads one page of claims in key order.
	 * @param continuationKey continuation key of the previous page, empty text for the
	 * first page
	 * @param limit maximum number of claims to read, at least 1
	 * @return the page
	 */
	public Single<Page> list(String continuationKey, int limit) {
		// The next greater key is the given key with a NUL character appended.
		return this.store.scan(ClaimTables.CLAIM, continuationKey.isEmpty() ? "" : continuationKey + '\0', limit)
			.map((rows) -> {
				List<Claim> claims = new ArrayList<>();
				int unreadable = 0;
				for (Row row : rows) {
					try {
						claims.add(ClaimCodec.decode(row.value()));
					}
					catch (IllegalArgumentException ex) {
						unreadable++;
					}
				}
				String nextKey = (rows.size() < limit) ? "" : rows.get(rows.size() - 1).key().key();
				return new Page(claims, nextKey, unreadable);
			});
	}

	/**
	 * Replaces an unknown outcome with the decision of an operator, at most once. The
	 * claim and the audit row are written in one transaction, provided that the claim has
	 * not changed since its outcome was read as unknown. A claim that is open or assigned
	 * is never changed, since its request may still run.
	 * @param workspace name of the workspace
	 * @param idempotencyKey idempotency key of the caller
	 * @param decision returns the outcome that replaces the unknown one
	 * @param token unique for this decision; it becomes the owner token of the claim
	 * @param audit audit row to write in the same transaction
	 * @return the result; if it fails with a {@link StoreException} with a possible
	 * effect, the decision may have been stored
	 */
	public Single<SettleResult> settle(String workspace, String idempotencyKey,
			Function<Outcome.Unknown, Outcome> decision, String token, Write.Put audit) {
		return trySettle(ClaimTables.claimKey(workspace, idempotencyKey), decision, token, audit, MAXIMUM_ATTEMPTS);
	}

	private Single<SettleResult> trySettle(RowKey key, Function<Outcome.Unknown, Outcome> decision, String token,
			Write.Put audit, int attemptsLeft) {
		return this.store.read(key).flatMap((row) -> {
			if (row.isEmpty()) {
				return Single.just(new SettleResult.NotFound());
			}
			Claim claim = ClaimCodec.decode(row.get().value());
			if (!(claim.phase() instanceof ClaimPhase.Finished finished)) {
				return Single.just(new SettleResult.NotUnknown(stateOf(claim)));
			}
			if (claim.ownerToken().equals(token)) {
				// An earlier attempt took effect, but its response was lost.
				return Single.just(new SettleResult.Settled(finished.outcome()));
			}
			if (!(finished.outcome() instanceof Outcome.Unknown unknown)) {
				return Single.just(new SettleResult.NotUnknown(stateOf(claim)));
			}
			Outcome outcome = decision.apply(unknown);
			Claim settled = claim.withOwner(token).withPhase(new ClaimPhase.Finished(outcome));
			Transaction transaction = new Transaction(
					List.of(new Condition.RevisionEquals(key, row.get().revision()), new Condition.Absent(audit.key())),
					List.of(new Write.Put(key, ClaimCodec.encode(settled)), audit));
			return this.store.commit(transaction)
				.map(TransactionResult.Committed.class::isInstance)
				.onErrorResumeNext((failure) -> isEffectPossible(failure) ? Single.just(false) : Single.error(failure))
				.flatMap((committed) -> committed ? Single.just(new SettleResult.Settled(outcome))
						: retry(key, decision, token, audit, attemptsLeft));
		});
	}

	private Single<SettleResult> retry(RowKey key, Function<Outcome.Unknown, Outcome> decision, String token,
			Write.Put audit, int attemptsLeft) {
		StoreException effectUnknown = new StoreException(
				"it is not known whether the decision was stored; look at the claim", true);
		if (attemptsLeft <= 1) {
			return Single.error(effectUnknown);
		}
		return trySettle(key, decision, token, audit, attemptsLeft - 1)
			.onErrorResumeNext((failure) -> Single.error(effectUnknown));
	}

	private static boolean isEffectPossible(Throwable failure) {
		return !(failure instanceof StoreException storeException) || storeException.isEffectPossible();
	}

	/**
	 * A page of claims.
	 *
	 * @param claims the claims that could be decoded
	 * @param continuationKey key after which the next page starts, empty text if this is
	 * the last page
	 * @param unreadableRows number of rows of the page that could not be decoded, because
	 * a newer version wrote them
	 */
	public record Page(List<Claim> claims, String continuationKey, int unreadableRows) {

		public Page {
			claims = List.copyOf(claims);
		}

	}

}
