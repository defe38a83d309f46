package org.magnoliahub.claim;

/**
 * Answer to {@link ClaimRepository#update}.
 */
public sealed interface UpdateResult {

	/**
	 * The update took effect.
	 *
	 * @param stored the claim with its new revision
	 */
	record Updated(StoredClaim stored) implements UpdateResult {
	}

	/**
	 * The claim was changed since the expected revision. The caller no longer owns it. If
	 * an answer was lost, the update itself may be one of the changes before the present
	 * one.
	 *
	 * @param current the present claim
	 */
	record Conflict(StoredClaim current) implements UpdateResult {
	}

	/** The claim does not exist, for example because its retention time has passed. */
	record Missing() implements UpdateResult {
	}

	/**
	 * The store gave no usable answer within the budget.
	 *
	 * @param effectPossible {@code false} only if the update certainly did not and will
	 * not take effect
	 * @param detail the last failure
	 */
	record Unavailable(boolean effectPossible, String detail) implements UpdateResult {
	}

}
