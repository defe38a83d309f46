package org.magnoliahub.gateway;

import java.util.Optional;

import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.StageOutput;

/**
 * Result of acquiring or updating the claim of a request with an idempotency key.
 */
sealed interface ClaimCheckResult {

	/**
	 * The request owns its claim and may run.
	 *
	 * @param recoveredOutput output of the non-idempotent stage if an earlier submission
	 * already ran it
	 */
	record Proceed(Optional<StageOutput> recoveredOutput) implements ClaimCheckResult {
	}

	/**
	 * The outcome is already determined, for example by an earlier submission, and the
	 * request must not run.
	 *
	 * @param outcome the outcome
	 */
	record EarlierOutcome(Outcome outcome) implements ClaimCheckResult {
	}

}
