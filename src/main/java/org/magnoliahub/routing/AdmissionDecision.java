package org.magnoliahub.routing;

import java.time.Duration;

import org.magnoliahub.model.RefusalReason;

/**
 * Whether a request may run.
 */
public sealed interface AdmissionDecision {

	/** The request may run. */
	record Admitted() implements AdmissionDecision {
	}

	/**
	 * The request must not run.
	 *
	 * @param reason why
	 * @param detail what was expected and what came
	 * @param retryAfter when to come back
	 */
	record Refused(RefusalReason reason, String detail, Duration retryAfter) implements AdmissionDecision {
	}

}
