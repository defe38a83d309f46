package org.magnoliahub.agent;

import org.magnoliahub.protocol.Message;

/**
 * An agent's connection to one gateway.
 */
@FunctionalInterface
public interface GatewayLink {

	/**
	 * Sends a message. The message is dropped if the connection is closed or, for a
	 * {@link Message.Chunk}, if the write buffer is full.
	 * @param message the message
	 * @return whether the message was handed to the connection; its delivery is not
	 * guaranteed
	 */
	boolean send(Message message);

}
