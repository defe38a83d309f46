package org.magnoliahub.claim;

/**
 * Result of {@link ClaimRepository#update}.
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
	 * The claim has changed since the expected revision, so the caller no longer owns it.
	 * If a response was lost, the update itself may be one of the changes before the
	 * current one.
	 *
	 * @param current the current claim
	 */
	record Conflict(StoredClaim current) implements UpdateResult {
	}

	/** The claim does not exist, for example because its retention period has elapsed. */
	record Missing() implements UpdateResult {
	}

	/**
	 * The store returned no usable response within the budget.
	 *
	 * @param effectPossible {@code false} only if it is certain that the update did not
	 * and will not take effect
	 * @param detail description of the last failure
	 */
	record Unavailable(boolean effectPossible, String detail) implements UpdateResult {
	}

}
