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
 * The TCP connections of a gateway, one per endpoint. All methods must be called on the
 * event loop.
 */
public final class TcpAgentConnections implements AgentConnections {

	private final Transport transport;

	private final Supplier<Message.Hello> helloSupplier;

	private final RandomGenerator random;

	private final Map<String, TcpAgentConnection> connections = new HashMap<>();

	private final Disposable livenessChecks;

	private TcpAgentConnections(Transport transport, Supplier<Message.Hello> helloSupplier,
			Supplier<Message.ConfigurationChanges> heartbeatSupplier, RandomGenerator random) {
		this.transport = transport;
		this.helloSupplier = helloSupplier;
		this.random = random;
		this.livenessChecks = transport.timers.every(Duration.ofMillis(Transport.LIVENESS_CHECK_INTERVAL_MS))
			.subscribe((tick) -> List.copyOf(this.connections.values())
				.forEach((connection) -> connection.checkLiveness(heartbeatSupplier)));
	}

	/**
	 * Creates an empty set of connections and starts its liveness checks.
	 * @param transport the network resources that all connections share
	 * @param helloSupplier creates the gateway's hello message for each connection
	 * @param heartbeatSupplier creates the message that is sent on idle connections
	 * @param random source of the jitter of reconnection delays
	 * @return the connections
	 */
	public static TcpAgentConnections create(Transport transport, Supplier<Message.Hello> helloSupplier,
			Supplier<Message.ConfigurationChanges> heartbeatSupplier, RandomGenerator random) {
		return new TcpAgentConnections(transport, helloSupplier, heartbeatSupplier, random);
	}

	/**
	 * Opens a connection to an endpoint, or returns the existing one. If the definition
	 * of the endpoint has changed, for example its agent address, the existing connection
	 * is closed and a new one opened.
	 * @param endpoint the endpoint
	 * @return the connection; a new one is not established yet
	 * @throws IllegalArgumentException if the agent address is not {@code host:port}
	 */
	public AgentConnection open(Endpoint endpoint) {
		TcpAgentConnection existing = this.connections.get(endpoint.name());
		if (existing != null && existing.endpoint().equals(endpoint)) {
			return existing;
		}
		close(endpoint);
		TcpAgentConnection opened = TcpAgentConnection.open(this.transport, endpoint, this.helloSupplier, this.random);
		this.connections.put(endpoint.name(), opened);
		return opened;
	}

	/**
	 * Closes the connection to an endpoint, if there is one.
	 * @param endpoint the endpoint
	 */
	public void close(Endpoint endpoint) {
		@Nullable TcpAgentConnection removed = this.connections.remove(endpoint.name());
		if (removed != null) {
			removed.close();
		}
	}

	/**
	 * Closes all connections and stops their liveness checks.
	 */
	public void closeAll() {
		this.livenessChecks.dispose();
		this.connections.values().forEach(TcpAgentConnection::close);
		this.connections.clear();
	}

	@Override
	public Optional<AgentConnection> find(Endpoint endpoint) {
		return Optional.ofNullable(this.connections.get(endpoint.name()));
	}

}
