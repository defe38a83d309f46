package org.magnoliahub.gateway;

import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.RejectionReason;

/**
 * Final result of an attempt, as known to the gateway.
 */
sealed interface AttemptResult {

	/**
	 * The attempt completed.
	 *
	 * @param output the complete output
	 * @param load load that the agent reported with the output
	 */
	record Completed(StageOutput output, Message.LoadReport load) implements AttemptResult {
	}

	/**
	 * The attempt did not start and will never start.
	 *
	 * @param reason reason of the rejection
	 */
	record NeverStarted(RejectionReason reason) implements AttemptResult {
	}

	/**
	 * The attempt started but did not complete.
	 *
	 * @param detail description of the failure
	 */
	record Failed(String detail) implements AttemptResult {
	}

	/**
	 * It cannot be determined whether the attempt ran.
	 *
	 * @param detail description of the failure
	 */
	record Lost(String detail) implements AttemptResult {
	}

}
