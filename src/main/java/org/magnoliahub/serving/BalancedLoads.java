package org.magnoliahub.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Summary of the endpoints that state the slowdown of their machines, for operators.
 *
 * @param endpoints number of these endpoints
 * @param busiestRatio requests per slot at the busiest endpoint of a service divided by
 * the mean of the service, for the service with the highest ratio; zero if there are no
 * such endpoints or no requests
 */
public record BalancedLoads(int endpoints, double busiestRatio) {

	/**
	 * Summarizes the endpoints of a gateway.
	 * @param directory the endpoints
	 * @param now monotonic time, in milliseconds
	 * @return the summary
	 */
	public static BalancedLoads of(EndpointDirectory directory, long now) {
		Map<String, Load> loads = new HashMap<>();
		int endpoints = 0;
		for (EndpointState endpoint : directory.all()) {
			if (endpoint.statesSlowdown(now)) {
				endpoints++;
				loads.merge(endpoint.record().service(), Load.of(endpoint, now), Load::plus);
			}
		}
		double ratio = loads.values().stream().mapToDouble(Load::ratio).max().orElse(0);
		return new BalancedLoads(endpoints, ratio);
	}

	private record Load(double requests, double slots, double busiest) {

		static Load of(EndpointState endpoint, long now) {
			double requests = endpoint.occupancy(now, 1);
			double slots = Math.max(1, endpoint.record().slots());
			return new Load(requests, slots, requests / slots);
		}

		Load plus(Load other) {
			return new Load(this.requests + other.requests, this.slots + other.slots,
					Math.max(this.busiest, other.busiest));
		}

		double ratio() {
			return (this.requests > 0) ? this.busiest * this.slots / this.requests : 0;
		}

	}

}
