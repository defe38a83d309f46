package org.magnoliahub.agent;

import org.magnoliahub.protocol.Message;

/**
 * An agent's connection to one gateway.
 */
@FunctionalInterface
public interface GatewayLink {

	/**
	 * Sends a message, or drops it if the connection is lost.
	 * @param message the message
	 */
	void send(Message message);

}
