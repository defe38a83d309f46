package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * Service that routes refer to.
 *
 * @param name unique name
 * @param healthPath path of the health check
 * @param stageLimits limits of a stage service, {@code null} for other services
 * @param engine whether the endpoints are model engines
 * @param coldMillis how long an endpoint is cold after its start, in milliseconds; zero
 * if unknown
 * @param coldPerSecond requests per second that a cold endpoint accepts from all
 * gateways; zero if they are not limited
 */
public record ServiceDefinition(String name, String healthPath, @Nullable StageLimits stageLimits, boolean engine,
		long coldMillis, double coldPerSecond) {

	/**
	 * Returns whether the requests to cold endpoints are limited.
	 * @return whether the service has a cold time and a cold rate
	 */
	public boolean limitsColdServers() {
		return this.coldMillis > 0 && this.coldPerSecond > 0;
	}

}
