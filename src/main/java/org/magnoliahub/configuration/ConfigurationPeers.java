package org.magnoliahub.configuration;

import java.util.List;

import org.magnoliahub.protocol.Message;

/**
 * Connections over which configurations are exchanged.
 */
public interface ConfigurationPeers {

	/**
	 * Lists the peers that are connected now.
	 * @return names of the peers, possibly none
	 */
	List<String> connected();

	/**
	 * Sends a message; it is lost if the connection fails.
	 * @param peer name of the peer
	 * @param message the message
	 */
	void send(String peer, Message.ConfigurationChanges message);

}
