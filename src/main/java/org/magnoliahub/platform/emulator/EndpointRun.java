package org.magnoliahub.platform.emulator;

/**
 * A run of a request at an endpoint.
 *
 * @param request the request
 * @param signature proof of the run
 * @param body body of its answer, if it is no stream
 */
public record EndpointRun(EndpointRequest request, String signature, String body) {
}
