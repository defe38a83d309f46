package org.magnoliahub.gateway;

import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.RejectionReason;

/**
 * How an attempt ended, as its gateway knows it.
 */
sealed interface AttemptResult {

	/**
	 * The attempt ran to its end.
	 *
	 * @param output the whole result
	 * @param load state of the endpoint
	 */
	record Completed(StageOutput output, Message.LoadReport load) implements AttemptResult {
	}

	/**
	 * The attempt did not start and never will.
	 *
	 * @param reason why
	 */
	record NeverStarted(RejectionReason reason) implements AttemptResult {
	}

	/**
	 * The attempt started and did not complete.
	 *
	 * @param detail what happened
	 */
	record Failed(String detail) implements AttemptResult {
	}

	/**
	 * Whether the attempt ran cannot be learned.
	 *
	 * @param detail what happened
	 */
	record Lost(String detail) implements AttemptResult {
	}

}
