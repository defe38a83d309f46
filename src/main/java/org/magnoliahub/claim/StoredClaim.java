package org.magnoliahub.claim;

/**
 * A claim with the revision of its row in the store.
 *
 * @param claim the claim
 * @param revision revision of the row, which the next {@link ClaimRepository#update} must
 * expect
 */
public record StoredClaim(Claim claim, long revision) {

}
