package org.magnoliahub.serving;

/**
 * Share of a route's requests that one service handles.
 *
 * @param service name of the service
 * @param weight weight relative to the other shares of the route, zero or positive
 */
public record ServiceShare(String service, double weight) {
}
