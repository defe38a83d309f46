package org.magnoliahub.claim;

/**
 * Result of {@link ClaimRepository#acquire}.
 */
public sealed interface AcquireResult {

	/**
	 * The caller owns the claim.
	 *
	 * @param stored the claim of the caller
	 */
	record Acquired(StoredClaim stored) implements AcquireResult {
	}

	/**
	 * Another owner holds the claim. If a response was lost, the caller may have held it
	 * before the current owner took it over.
	 *
	 * @param stored the current claim
	 */
	record Existing(StoredClaim stored) implements AcquireResult {
	}

	/**
	 * The store returned no usable response within the budget.
	 *
	 * @param effectPossible {@code false} only if it is certain that the claim was not
	 * and will not be written; otherwise it may still appear later
	 * @param detail description of the last failure
	 */
	record Unavailable(boolean effectPossible, String detail) implements AcquireResult {
	}

}
