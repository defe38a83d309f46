package org.magnoliahub.routing;

import java.time.Duration;

import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.Workspace;

/**
 * A request that asks for admission.
 *
 * @param request its id
 * @param workspace its workspace
 * @param requestClass its class
 * @param pipeline the pipeline of its class
 * @param budget time left until its deadline
 */
public record AdmissionRequest(RequestId request, Workspace workspace, RequestClass requestClass,
		PipelineDefinition pipeline, Duration budget) {

}
