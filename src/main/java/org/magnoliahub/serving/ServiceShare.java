package org.magnoliahub.serving;

/**
 * Part of a route's requests that goes to one service.
 *
 * @param service the service
 * @param weight weight relative to the other shares of the route, zero or positive
 */
public record ServiceShare(String service, double weight) {
}
