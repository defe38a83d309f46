package org.magnoliahub.server;

import org.magnoliahub.gateway.GatewayLimits;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.report.RecordSettings;
import org.magnoliahub.routing.RoutingPolicy;

/**
 * Settings of a gateway process.
 *
 * @param name name of the gateway, unique among gateways
 * @param availabilityZone the zone it runs in
 * @param host local address
 * @param port local port for callers, 0 for any free one
 * @param adminPort local port for operators, 0 for any free one
 * @param maximumConnections most open connections of callers
 * @param maximumStreams most answers that are streamed at a time
 * @param policy how endpoints are chosen
 * @param limits limits of requests and retries
 * @param operators tokens of operators
 * @param records bounds of the records of requests
 */
public record GatewaySettings(String name, AvailabilityZone availabilityZone, String host, int port, int adminPort,
		int maximumConnections, int maximumStreams, RoutingPolicy policy, GatewayLimits limits,
		OperatorTokens operators, RecordSettings records) {

	/**
	 * Creates settings without operators.
	 * @param name name of the gateway, unique among gateways
	 * @param availabilityZone the zone it runs in
	 * @param host local address
	 * @param port local port for callers, 0 for any free one
	 * @param adminPort local port for operators, 0 for any free one
	 * @param maximumConnections most open connections of callers
	 * @param maximumStreams most answers that are streamed at a time
	 * @param policy how endpoints are chosen
	 * @param limits limits of requests and retries
	 */
	public GatewaySettings(String name, AvailabilityZone availabilityZone, String host, int port, int adminPort,
			int maximumConnections, int maximumStreams, RoutingPolicy policy, GatewayLimits limits) {
		this(name, availabilityZone, host, port, adminPort, maximumConnections, maximumStreams, policy, limits,
				OperatorTokens.none(), RecordSettings.defaults());
	}

}
