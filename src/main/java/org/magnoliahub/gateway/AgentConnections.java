package org.magnoliahub.gateway;

import java.util.Optional;

import org.magnoliahub.model.Endpoint;

/**
 * Looks up the connections of a gateway to agents.
 */
@FunctionalInterface
public interface AgentConnections {

	/**
	 * Finds the connection to the agent of an endpoint.
	 * @param endpoint the endpoint
	 * @return the connection, empty if this gateway does not have one
	 */
	Optional<AgentConnection> find(Endpoint endpoint);

}
