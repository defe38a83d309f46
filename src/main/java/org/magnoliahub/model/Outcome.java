package org.magnoliahub.model;

import java.time.Duration;
import java.util.List;

/**
 * Final answer to a request.
 */
public sealed interface Outcome {

	/**
	 * Whether the outcome can no longer change.
	 * @return {@code false} for {@link Unknown}, which an operator may settle
	 */
	default boolean isFinal() {
		return !(this instanceof Unknown);
	}

	/**
	 * Returns the name of the outcome in answers, records and reports.
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
	 * The request ran and this is its whole answer.
	 *
	 * @param answer content of the last stage
	 */
	record Complete(String answer) implements Outcome {
	}

	/**
	 * Nothing of the request ran.
	 *
	 * @param reason why
	 * @param detail what was expected, what came and what to do
	 * @param retryAfter when to come back, zero if a repeat does not help
	 */
	record NotRun(RefusalReason reason, String detail, Duration retryAfter) implements Outcome {
	}

	/**
	 * Some stages ran, and no complete answer exists.
	 *
	 * @param stagesRun names of the stages that ran or may have run, in order
	 * @param reason why
	 * @param detail what happened
	 */
	record Failed(List<String> stagesRun, FailureReason reason, String detail) implements Outcome {

		public Failed {
			stagesRun = List.copyOf(stagesRun);
		}

	}

	/**
	 * A non-idempotent call may have run; its result is not known.
	 *
	 * @param stage name of the stage
	 * @param detail what happened
	 */
	record Unknown(String stage, String detail) implements Outcome {
	}

}
