package org.magnoliahub.claim;

/**
 * A claim as it is stored.
 *
 * @param claim the claim
 * @param revision revision of its row, expected by the next
 * {@link ClaimRepository#update}
 */
public record StoredClaim(Claim claim, long revision) {

}
