package org.magnoliahub.routing;

import java.time.Duration;

import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.Workspace;

/**
 * The properties of a request that decide on its admission.
 *
 * @param request id of the request
 * @param workspace workspace on whose behalf it runs
 * @param requestClass class of the request
 * @param pipeline pipeline of the request class
 * @param budget time left until the deadline
 */
public record AdmissionRequest(RequestId request, Workspace workspace, RequestClass requestClass,
		PipelineDefinition pipeline, Duration budget) {

}
