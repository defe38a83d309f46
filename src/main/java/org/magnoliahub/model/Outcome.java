package org.magnoliahub.model;

import java.time.Duration;
import java.util.List;

/**
 * Result of a request as the gateway reports it to the caller.
 */
public sealed interface Outcome {

	/**
	 * Returns whether the outcome can no longer change.
	 * @return {@code false} for {@link Unknown}, which an operator can settle
	 */
	default boolean isFinal() {
		return !(this instanceof Unknown);
	}

	/**
	 * Returns the name of the outcome in responses, request records and reports.
	 * @return {@code complete}, {@code not_run}, {@code failed} or
	 * {@code outcome_unknown}
	 */
	default String label() {
		if (this instanceof Complete) {
			return "complete";
		}
		if (this instanceof NotRun) {
			return "not_run";
		}
		return (this instanceof Failed) ? "failed" : "outcome_unknown";
	}

	/**
	 * The request completed.
	 *
	 * @param answer output of the last stage
	 */
	record Complete(String answer) implements Outcome {
	}

	/**
	 * No stage of the request ran.
	 *
	 * @param reason the reason
	 * @param detail what was expected, what was received and what the caller can do
	 * @param retryAfter time after which to retry, zero if a retry does not help
	 */
	record NotRun(RefusalReason reason, String detail, Duration retryAfter) implements Outcome {
	}

	/**
	 * Some stages ran or may have run, but the request did not complete.
	 *
	 * @param stagesRun names of the stages that ran or may have run, in order of
	 * execution
	 * @param reason the reason
	 * @param detail what happened
	 */
	record Failed(List<String> stagesRun, FailureReason reason, String detail) implements Outcome {

		public Failed {
			stagesRun = List.copyOf(stagesRun);
		}

	}

	/**
	 * A call of a non-idempotent stage may have run, and its result is unknown.
	 *
	 * @param stage name of the non-idempotent stage
	 * @param detail what happened
	 */
	record Unknown(String stage, String detail) implements Outcome {
	}

}
