package org.magnoliahub.claim;

/**
 * Answer to {@link ClaimRepository#acquire}.
 */
public sealed interface AcquireResult {

	/**
	 * The caller owns the claim.
	 *
	 * @param stored the caller's claim
	 */
	record Acquired(StoredClaim stored) implements AcquireResult {
	}

	/**
	 * Another owner has the claim. If an answer was lost, the caller may have had it for
	 * a time before the present owner took it over.
	 *
	 * @param stored the present claim
	 */
	record Existing(StoredClaim stored) implements AcquireResult {
	}

	/**
	 * The store gave no usable answer within the budget.
	 *
	 * @param effectPossible {@code false} only if the claim certainly was not and will
	 * not be written; otherwise it can appear even later
	 * @param detail the last failure
	 */
	record Unavailable(boolean effectPossible, String detail) implements AcquireResult {
	}

}
