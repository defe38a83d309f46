package org.magnoliahub.gateway;

import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;

/**
 * A gateway's connection to the agent of one endpoint, which reconnects by itself.
 */
public interface AgentConnection {

	/**
	 * Returns the endpoint.
	 * @return the endpoint whose agent this connects to
	 */
	Endpoint endpoint();

	/**
	 * Returns the agent's greeting on the present connection.
	 * @return the greeting, empty while disconnected
	 */
	Optional<Message.Hello> agentHello();

	/**
	 * Returns the latest monotonic time heard from the agent's present incarnation.
	 * @return milliseconds, 0 while disconnected
	 */
	long agentMillisSeen();

	/**
	 * Sends a message, or drops it while disconnected.
	 * @param message the message
	 * @return whether it was handed to the connection; delivery is not certain
	 */
	boolean send(Message message);

	/**
	 * Returns messages from the agent, on the event loop, across reconnections.
	 * @return a hot stream that never ends before the connection is closed
	 */
	Flowable<Message> messages();

	/**
	 * Returns changes of the connection's state, on the event loop.
	 * @return {@code true} when a greeting was received, {@code false} when the
	 * connection was lost; a hot stream
	 */
	Flowable<Boolean> connectionChanges();

}
