package org.magnoliahub.claim;

import org.magnoliahub.model.Outcome;

/**
 * Answer to an operator's decision on an unknown outcome.
 */
public sealed interface SettleResult {

	/**
	 * The decision is the outcome from now on.
	 *
	 * @param outcome the outcome
	 */
	record Settled(Outcome outcome) implements SettleResult {
	}

	/**
	 * There is no such claim.
	 */
	record NotFound() implements SettleResult {
	}

	/**
	 * The outcome is not unknown; nothing was changed.
	 *
	 * @param state state of the claim: {@code open}, {@code assigned} or the label of its
	 * outcome
	 */
	record NotUnknown(String state) implements SettleResult {
	}

}
