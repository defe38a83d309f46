package org.magnoliahub.platform.emulator;

import java.util.List;

/**
 * A request as an endpoint got it.
 *
 * @param endpoint id of the endpoint
 * @param requestId id of the request
 * @param method its method
 * @param target path and query
 * @param body its body
 * @param workspace the workspace that it runs for
 * @param lastEventId event after which a stream goes on, empty for a new one
 * @param prompt parts of its prompt, empty if it has none
 * @param inputs handles of the stage results that it gets
 */
public record EndpointRequest(String endpoint, String requestId, String method, String target, String body,
		String workspace, String lastEventId, String prompt, List<String> inputs) {

	public EndpointRequest {
		inputs = List.copyOf(inputs);
	}

}
