package org.magnoliahub.agent;

import org.magnoliahub.protocol.Message;

/**
 * An agent's connection to one gateway.
 */
@FunctionalInterface
public interface GatewayLink {

	/**
	 * Sends a message, or drops it if the connection is lost or, for a
	 * {@link Message.Chunk}, if too much waits to be written.
	 * @param message the message
	 * @return whether it was handed to the connection; delivery is not certain
	 */
	boolean send(Message message);

}
