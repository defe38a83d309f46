package org.magnoliahub.serving;

/**
 * Load that an endpoint reported in a response.
 *
 * @param running number of requests in progress
 * @param waiting number of queued requests
 * @param slots number of requests that the endpoint can process concurrently
 */
public record EndpointLoad(int running, int waiting, int slots) {
}
