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
 * What operators do with claims. Every result can be a {@link StoreException}.
 */
public final class ClaimAdministration {

	private static final int MAXIMUM_ATTEMPTS = 4;

	private final TableStore store;

	private ClaimAdministration(TableStore store) {
		this.store = store;
	}

	/**
	 * Creates the administration.
	 * @param store the table service
	 * @return the administration
	 */
	public static ClaimAdministration of(TableStore store) {
		return new ClaimAdministration(store);
	}

	/**
	 * Returns the state of a claim in one word.
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
	 * Reads claims in order of their keys.
	 * @param after where the page before ended, empty text for the start
	 * @param limit most claims read, at least 1
	 * @return the page
	 */
	public Single<Page> list(String after, int limit) {
		// The smallest key greater than a known one is that key with a zero appended.
		return this.store.scan(ClaimTables.CLAIM, after.isEmpty() ? "" : after + '\0', limit).map((rows) -> {
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
			String next = (rows.size() < limit) ? "" : rows.get(rows.size() - 1).key().key();
			return new Page(claims, next, unreadable);
		});
	}

	/**
	 * Decides on an unknown outcome, at most once. The claim and the audit row are
	 * written in one transaction, if the claim has not changed since its outcome was read
	 * as unknown. A claim that is open or assigned is never changed, since its request
	 * may still run.
	 * @param workspace name of the workspace
	 * @param idempotencyKey the caller's key
	 * @param decision gives the outcome that replaces the unknown one
	 * @param token unique for this decision; it becomes the owner token of the claim
	 * @param audit the audit row to write with it
	 * @return the answer; a {@link StoreException} with a possible effect means that the
	 * decision may have been stored
	 */
	public Single<SettleResult> settle(String workspace, String idempotencyKey,
			Function<Outcome.Unknown, Outcome> decision, String token, Write.Put audit) {
		return attempt(ClaimTables.claimKey(workspace, idempotencyKey), decision, token, audit, MAXIMUM_ATTEMPTS);
	}

	private Single<SettleResult> attempt(RowKey key, Function<Outcome.Unknown, Outcome> decision, String token,
			Write.Put audit, int attempts) {
		return this.store.read(key).flatMap((row) -> {
			if (row.isEmpty()) {
				return Single.just(new SettleResult.NotFound());
			}
			Claim claim = ClaimCodec.decode(row.get().value());
			if (!(claim.phase() instanceof ClaimPhase.Finished finished)) {
				return Single.just(new SettleResult.NotUnknown(stateOf(claim)));
			}
			if (claim.ownerToken().equals(token)) {
				// An earlier attempt took effect and its answer was lost.
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
						: again(key, decision, token, audit, attempts));
		});
	}

	private Single<SettleResult> again(RowKey key, Function<Outcome.Unknown, Outcome> decision, String token,
			Write.Put audit, int attempts) {
		StoreException unclear = new StoreException(
				"it is not known whether the decision was stored; look at the claim", true);
		if (attempts <= 1) {
			return Single.error(unclear);
		}
		return attempt(key, decision, token, audit, attempts - 1).onErrorResumeNext((failure) -> Single.error(unclear));
	}

	private static boolean isEffectPossible(Throwable failure) {
		return !(failure instanceof StoreException storeException) || storeException.isEffectPossible();
	}

	/**
	 * Some claims.
	 *
	 * @param claims the claims
	 * @param continuationKey where the next page starts, empty text if there are no more
	 * @param unreadableRows rows of the page that a newer version wrote
	 */
	public record Page(List<Claim> claims, String continuationKey, int unreadableRows) {

		public Page {
			claims = List.copyOf(claims);
		}

	}

}
