package org.magnoliahub.coldstart;

/**
 * Limit on the requests that all gateways together send to a cold server in one second:
 * the rate of its service times the overage, plus the slack.
 *
 * @param overage factor of the rate
 * @param slack requests in addition
 * @param contactMillis time without a response of the store after which a gateway does
 * not know the other gateways, in milliseconds
 */
public record ColdBounds(double overage, double slack, long contactMillis) {

	/**
	 * Returns the limit for a service.
	 * @param perSecond request rate of a cold server of the service
	 * @return the maximum number of requests in any one second
	 */
	double requestsInOneSecond(double perSecond) {
		return perSecond * this.overage + this.slack;
	}

	/**
	 * Returns the rate to divide, which is lower than that of the service if the limit
	 * is.
	 * @param perSecond request rate of a cold server of the service
	 * @return requests per second of all gateways
	 */
	double dividedPerSecond(double perSecond) {
		return Math.min(perSecond, Math.floor(requestsInOneSecond(perSecond)));
	}

	/**
	 * Returns what the limit permits beyond the rate that is divided.
	 * @param perSecond request rate of a cold server of the service
	 * @return number of requests in any one second
	 */
	double requestsBeyondRate(double perSecond) {
		return requestsInOneSecond(perSecond) - Math.ceil(dividedPerSecond(perSecond));
	}

}
