package org.magnoliahub.gateway;

import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;

/**
 * Connection from a gateway to the agent of one endpoint. Reconnects automatically.
 */
public interface AgentConnection {

	/**
	 * Returns the endpoint whose agent this connection leads to.
	 * @return the endpoint
	 */
	Endpoint endpoint();

	/**
	 * Returns the hello message that the agent sent on the current connection.
	 * @return the hello message, empty while disconnected
	 */
	Optional<Message.Hello> agentHello();

	/**
	 * Returns the latest monotonic clock reading received from the current incarnation of
	 * the agent.
	 * @return milliseconds, 0 while disconnected
	 */
	long agentMillisSeen();

	/**
	 * Sends a message. The message is dropped while disconnected.
	 * @param message the message to send
	 * @return whether the message was passed to the connection, which does not guarantee
	 * its delivery
	 */
	boolean send(Message message);

	/**
	 * Returns the messages from the agent, across reconnections. They are emitted on the
	 * event loop.
	 * @return a hot stream that does not complete before the connection is closed
	 */
	Flowable<Message> messages();

	/**
	 * Returns the changes of the connection state. They are emitted on the event loop.
	 * @return a hot stream of {@code true} when the hello message of the agent was
	 * received and {@code false} when the connection was lost
	 */
	Flowable<Boolean> connectionChanges();

}
