package org.magnoliahub.claim;

import org.magnoliahub.model.Outcome;

/**
 * Result of an operator's decision on an unknown outcome.
 */
public sealed interface SettleResult {

	/**
	 * The decision was stored and replaces the unknown outcome.
	 *
	 * @param outcome the new outcome
	 */
	record Settled(Outcome outcome) implements SettleResult {
	}

	/**
	 * The claim does not exist.
	 */
	record NotFound() implements SettleResult {
	}

	/**
	 * The request has no unknown outcome, so nothing was changed.
	 *
	 * @param state state of the claim: {@code open}, {@code assigned} or the label of its
	 * outcome
	 */
	record NotUnknown(String state) implements SettleResult {
	}

}
