package org.magnoliahub.serving;

/**
 * Load that an endpoint stated in an answer.
 *
 * @param running requests it works on
 * @param waiting requests in its queue
 * @param slots requests it can work on at a time
 */
public record EndpointLoad(int running, int waiting, int slots) {
}
