package org.magnoliahub.configuration;

import java.util.List;

import org.magnoliahub.protocol.Message;

/**
 * Connections to the peers with which a process exchanges configurations.
 */
public interface ConfigurationPeers {

	/**
	 * Returns the peers that are currently connected.
	 * @return names of the peers, possibly empty
	 */
	List<String> connected();

	/**
	 * Sends a message. It is lost if the connection fails.
	 * @param peer name of the peer
	 * @param message the message
	 */
	void send(String peer, Message.ConfigurationChanges message);

}
