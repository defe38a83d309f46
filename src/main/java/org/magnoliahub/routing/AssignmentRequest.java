package org.magnoliahub.routing;

import java.time.Duration;
import java.util.Set;

import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.Workspace;

/**
 * A request to assign one attempt of a stage to an endpoint.
 *
 * @param attempt the attempt to assign
 * @param workspace the workspace of the request
 * @param requestClass the class of the request
 * @param pipeline the pipeline of the request class
 * @param budget time left until the request's deadline, shared by this and all later
 * stages
 * @param excludedEndpoints names of endpoints that must not be chosen
 * @param prefixHash hash of the prompt prefix, for prefix cache affinity; 0 if unknown
 */
public record AssignmentRequest(AttemptId attempt, Workspace workspace, RequestClass requestClass,
		PipelineDefinition pipeline, Duration budget, Set<String> excludedEndpoints, long prefixHash) {

	/**
	 * Copies the excluded endpoints.
	 */
	public AssignmentRequest {
		excludedEndpoints = Set.copyOf(excludedEndpoints);
	}

	/**
	 * Returns the stage to run.
	 * @return the definition of the stage
	 */
	public StageDefinition stage() {
		return this.pipeline.stages().get(this.attempt.stage());
	}

}
