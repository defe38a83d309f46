package org.magnoliahub.model;

/**
 * Identifies one attempt to run one stage of a request.
 *
 * @param request the request
 * @param stage index of the stage in its pipeline, from 0
 * @param attempt number of the attempt at this stage, from 1
 */
public record AttemptId(RequestId request, int stage, int attempt) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if the attempt number is below 1, or the stage
	 * index is negative or not below {@link PipelineDefinition#MAXIMUM_STAGES}
	 */
	public AttemptId {
		Arguments.requireRange(stage, 0, PipelineDefinition.MAXIMUM_STAGES - 1, "stage index");
		Arguments.requireRange(attempt, 1, Integer.MAX_VALUE, "attempt number");
	}

}
