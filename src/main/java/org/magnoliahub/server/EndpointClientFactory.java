package org.magnoliahub.server;

import org.magnoliahub.agent.EndpointClient;

/**
 * Creates the client through which an agent calls its back end.
 */
@FunctionalInterface
public interface EndpointClientFactory {

	/**
	 * Creates a client.
	 * @param settings settings of the agent
	 * @param loop event loop on which results arrive
	 * @return the client
	 */
	EndpointClient create(AgentSettings settings, EventLoop loop);

}
