package org.magnoliahub.routing;

import java.time.Duration;

import org.magnoliahub.model.RefusalReason;

/**
 * Result of the admission check of a request.
 */
public sealed interface AdmissionDecision {

	/** The request is admitted. */
	record Admitted() implements AdmissionDecision {
	}

	/**
	 * The request is refused and none of its stages run.
	 *
	 * @param reason the reason for the refusal
	 * @param detail description of what was expected and what was found
	 * @param retryAfter time after which the caller may retry
	 */
	record Refused(RefusalReason reason, String detail, Duration retryAfter) implements AdmissionDecision {
	}

}
