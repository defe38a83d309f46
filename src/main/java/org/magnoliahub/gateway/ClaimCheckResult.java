package org.magnoliahub.gateway;

import java.util.Optional;

import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.StageOutput;

/**
 * What a request with an idempotency key may do.
 */
sealed interface ClaimCheckResult {

	/**
	 * The request owns its claim and may run.
	 *
	 * @param recovered result of the non-idempotent stage if an earlier submission ran it
	 */
	record Proceed(Optional<StageOutput> recovered) implements ClaimCheckResult {
	}

	/**
	 * An earlier submission decided the outcome.
	 *
	 * @param outcome the outcome
	 */
	record EarlierOutcome(Outcome outcome) implements ClaimCheckResult {
	}

}
