package org.magnoliahub.claim;

import org.magnoliahub.model.Arguments;
import org.magnoliahub.model.RequestId;

/**
 * Right of one gateway to run the non-idempotent calls of a request.
 *
 * @param workspace name of the workspace, not blank
 * @param idempotencyKey the caller's key, not blank
 * @param inputHash hash of the input, to detect a key that is reused with another input
 * @param ownerToken token of the owner, unique for each call of
 * {@link ClaimRepository#acquire} and for each takeover
 * @param requestId the request
 * @param phase how far the request has come
 */
public record Claim(String workspace, String idempotencyKey, String inputHash, String ownerToken, RequestId requestId,
		ClaimPhase phase) {

	/**
	 * Checks the texts.
	 * @throws IllegalArgumentException if a text is blank
	 */
	public Claim {
		Arguments.requireText(workspace, "workspace name");
		Arguments.requireText(idempotencyKey, "idempotency key");
		Arguments.requireText(inputHash, "input hash");
		Arguments.requireText(ownerToken, "owner token");
	}

	/**
	 * Returns a copy in another phase.
	 * @param next the phase
	 * @return the copy
	 */
	public Claim withPhase(ClaimPhase next) {
		return new Claim(this.workspace, this.idempotencyKey, this.inputHash, this.ownerToken, this.requestId, next);
	}

	/**
	 * Returns a copy that another gateway owns.
	 * @param token the new owner's token, not blank
	 * @return the copy
	 */
	public Claim withOwner(String token) {
		return new Claim(this.workspace, this.idempotencyKey, this.inputHash, token, this.requestId, this.phase);
	}

}
