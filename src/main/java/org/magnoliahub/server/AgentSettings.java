package org.magnoliahub.server;

import org.magnoliahub.agent.AgentLimits;
import org.magnoliahub.model.AvailabilityZone;

/**
 * Settings of an agent process.
 *
 * @param endpoint name of the endpoint it guards
 * @param availabilityZone the zone it runs in
 * @param backEndUrl base URL of the back end
 * @param host local address for gateways and operators
 * @param port local port for gateways, 0 for any free one
 * @param adminPort local port for operators, 0 for any free one
 * @param model name of the model that the back end is asked for
 * @param limits limits of running and waiting calls
 */
public record AgentSettings(String endpoint, AvailabilityZone availabilityZone, String backEndUrl, String host,
		int port, int adminPort, String model, AgentLimits limits) {

}
