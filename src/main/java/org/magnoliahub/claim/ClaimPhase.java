package org.magnoliahub.claim;

import org.magnoliahub.model.Arguments;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.PipelineDefinition;

/**
 * Progress of the request of a {@link Claim}.
 */
public sealed interface ClaimPhase {

	/** No non-idempotent attempt has been sent yet. */
	record Open() implements ClaimPhase {
	}

	/**
	 * A non-idempotent attempt may have been sent.
	 *
	 * @param stage index of the stage, from 0
	 * @param endpoint name of the endpoint
	 * @param agentIncarnation incarnation of the agent to which the attempt is addressed
	 * @param attempt number of the attempt within the request, from 1
	 * @param agentMillisSeen last monotonic clock reading received from the agent before
	 * the claim was written, in milliseconds
	 * @param configurationVersion configuration version of the gateway that wrote the
	 * claim; an endpoint that a later version does not declare is known to be removed
	 */
	record Assigned(int stage, String endpoint, long agentIncarnation, int attempt, long agentMillisSeen,
			long configurationVersion) implements ClaimPhase {

		public Assigned {
			Arguments.requireRange(stage, 0, PipelineDefinition.MAXIMUM_STAGES - 1, "stage index");
			Arguments.requireText(endpoint, "endpoint name");
			Arguments.requireRange(attempt, 1, Integer.MAX_VALUE, "attempt number");
		}

	}

	/**
	 * The request has an outcome. An operator can still settle {@link Outcome.Unknown}.
	 *
	 * @param outcome the outcome
	 */
	record Finished(Outcome outcome) implements ClaimPhase {
	}

}
