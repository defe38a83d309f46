package org.magnoliahub.claim;

import org.magnoliahub.model.Arguments;
import org.magnoliahub.model.RequestId;

/**
 * Exclusive right of one gateway to run the non-idempotent calls of a request.
 *
 * @param workspace name of the workspace, not blank
 * @param idempotencyKey idempotency key of the caller, not blank
 * @param inputHash hash of the input, which detects that a key is reused with a different
 * input
 * @param ownerToken token of the owner, unique for each call of
 * {@link ClaimRepository#acquire} and for each takeover
 * @param requestId id of the request
 * @param phase progress of the request
 */
public record Claim(String workspace, String idempotencyKey, String inputHash, String ownerToken, RequestId requestId,
		ClaimPhase phase) {

	/**
	 * Validates the text components.
	 * @throws IllegalArgumentException if a text component is blank
	 */
	public Claim {
		Arguments.requireText(workspace, "workspace name");
		Arguments.requireText(idempotencyKey, "idempotency key");
		Arguments.requireText(inputHash, "input hash");
		Arguments.requireText(ownerToken, "owner token");
	}

	/**
	 * Returns a copy in a different phase.
	 * @param next phase of the copy
	 * @return the copy
	 */
	public Claim withPhase(ClaimPhase next) {
		return new Claim(this.workspace, this.idempotencyKey, this.inputHash, this.ownerToken, this.requestId, next);
	}

	/**
	 * Returns a copy with a different owner.
	 * @param token the new owner's token, not blank
	 * @return the copy
	 */
	public Claim withOwner(String token) {
		return new Claim(this.workspace, this.idempotencyKey, this.inputHash, token, this.requestId, this.phase);
	}

}
