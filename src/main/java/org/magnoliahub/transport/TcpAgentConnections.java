package org.magnoliahub.transport;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.gateway.AgentConnection;
import org.magnoliahub.gateway.AgentConnections;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.protocol.Message;

/**
 * The TCP connections of a gateway. All methods are called on the event loop.
 */
public final class TcpAgentConnections implements AgentConnections {

	private final Transport transport;

	private final Supplier<Message.Hello> greeting;

	private final RandomGenerator random;

	private final Map<String, TcpAgentConnection> connections = new HashMap<>();

	private final Disposable checks;

	private TcpAgentConnections(Transport transport, Supplier<Message.Hello> greeting,
			Supplier<Message.ConfigurationChanges> heartbeat, RandomGenerator random) {
		this.transport = transport;
		this.greeting = greeting;
		this.random = random;
		this.checks = transport.timers.every(Duration.ofMillis(Transport.CHECK_INTERVAL_MS))
			.subscribe((tick) -> List.copyOf(this.connections.values())
				.forEach((connection) -> connection.check(heartbeat)));
	}

	/**
	 * Creates the connections of a gateway, none at first.
	 * @param transport the shared part of all connections
	 * @param greeting creates the gateway's greeting at each connection
	 * @param heartbeat creates the message for idle connections
	 * @param random jitter of reconnections
	 * @return the connections
	 */
	public static TcpAgentConnections create(Transport transport, Supplier<Message.Hello> greeting,
			Supplier<Message.ConfigurationChanges> heartbeat, RandomGenerator random) {
		return new TcpAgentConnections(transport, greeting, heartbeat, random);
	}

	/**
	 * Opens a connection, or returns the one that is open to the same endpoint. An
	 * endpoint whose agent address changed is connected anew.
	 * @param endpoint the endpoint
	 * @return the connection, which is not yet established
	 * @throws IllegalArgumentException if the agent address is not {@code host:port}
	 */
	public AgentConnection open(Endpoint endpoint) {
		TcpAgentConnection present = this.connections.get(endpoint.name());
		if (present != null && present.endpoint().equals(endpoint)) {
			return present;
		}
		close(endpoint);
		TcpAgentConnection opened = TcpAgentConnection.open(this.transport, endpoint, this.greeting, this.random);
		this.connections.put(endpoint.name(), opened);
		return opened;
	}

	/**
	 * Closes the connection to an endpoint, if there is one.
	 * @param endpoint the endpoint
	 */
	public void close(Endpoint endpoint) {
		@Nullable TcpAgentConnection present = this.connections.remove(endpoint.name());
		if (present != null) {
			present.close();
		}
	}

	/**
	 * Closes all connections.
	 */
	public void closeAll() {
		this.checks.dispose();
		this.connections.values().forEach(TcpAgentConnection::close);
		this.connections.clear();
	}

	@Override
	public Optional<AgentConnection> find(Endpoint endpoint) {
		return Optional.ofNullable(this.connections.get(endpoint.name()));
	}

}
