package org.magnoliahub.gateway;

import java.util.Optional;

import org.magnoliahub.model.Endpoint;

/**
 * The connections of a gateway to agents.
 */
@FunctionalInterface
public interface AgentConnections {

	/**
	 * Finds the connection to an endpoint's agent.
	 * @param endpoint the endpoint
	 * @return the connection, empty if this gateway keeps none
	 */
	Optional<AgentConnection> find(Endpoint endpoint);

}
