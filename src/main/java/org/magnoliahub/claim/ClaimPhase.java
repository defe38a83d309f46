package org.magnoliahub.claim;

import org.magnoliahub.model.Arguments;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.PipelineDefinition;

/**
 * How far the request of a {@link Claim} has come.
 */
public sealed interface ClaimPhase {

	/** Nothing non-idempotent was sent yet. */
	record Open() implements ClaimPhase {
	}

	/**
	 * A non-idempotent attempt may have been sent.
	 *
	 * @param stage index of the stage, from 0
	 * @param endpoint name of the endpoint
	 * @param agentIncarnation incarnation of the agent that the attempt is addressed to
	 * @param attempt number of the attempt at this stage, from 1
	 * @param agentMillisSeen agent's monotonic time last seen before the claim was
	 * written, in milliseconds
	 * @param configurationVersion version in force at the gateway that wrote the claim,
	 * so that an endpoint that a later version lacks is known to be removed
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
	 * The request has its outcome. {@link WriteHandler.Unknown} can still be resolved by
	 * an operator.
	 *
	 * @param outcome the outcome
	 */
	record Finished(Outcome outcome) implements ClaimPhase {
	}

}
