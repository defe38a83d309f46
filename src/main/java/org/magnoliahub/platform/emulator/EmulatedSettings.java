package org.magnoliahub.platform.emulator;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Settings, a configuration and rows of endpoints as the platform writes them.
 */
public final class EmulatedSettings {

	/** Name of the environment variable that names the settings file. */
	public static final String PATH_VARIABLE = "MAGNOLIAHUB_CONFIG";

	/** Key of the only workspace. */
	public static final String KEY = "key-1";

	/** The only workspace. */
	public static final String WORKSPACE = "workspace-1";

	private static final String ZONE = "z1";

	private static final String PLAIN_ROUTE = """
			{"name":"%s","host":"h","prefix":"%s","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,
			"service":"plain","max_attempts":2},
			""";

	private static final String CONFIGURATION = """
			{"version":%d,"routes":[%s
			{"name":"order","host":"h","prefix":"/order/","kind":"non_idempotent","timeout_ms":1500,
			"target_latency_ms":300,"service":"plain","max_attempts":1},
			{"name":"long","host":"h","prefix":"/long/","kind":"non_idempotent","timeout_ms":12000,
			"target_latency_ms":8000,"service":"long","max_attempts":1},
			{"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":5000,
			"target_latency_ms":900,"service":"model","max_attempts":2,"resume_streams":true,"sticky":true},
			{"name":"once","host":"h","prefix":"/once/","kind":"streaming","timeout_ms":5000,
			"target_latency_ms":900,"service":"model","max_attempts":1,"resume_streams":false,"sticky":true},
			{"name":"staged","host":"h","prefix":"/staged/","kind":"streaming","timeout_ms":5000,
			"target_latency_ms":900,"service":"model","max_attempts":2,"resume_streams":true,"sticky":true,
			"stages":[{"service":"read","after":[],"size_bytes":100},{"service":"rank","after":[0],"size_bytes":100}]}],
			"services":[{"name":"plain","health_path":"/h"},{"name":"long","health_path":"/h"},
			{"name":"model","health_path":"/h","engine":{"slots":8}},
			{"name":"read","health_path":"/h","pieces":{"slots":1,"batch":4,"call_ms":20,"item_ms":2,
			"headroom_mb":1,"handle_s":4}},
			{"name":"rank","health_path":"/h","pieces":{"slots":1,"batch":4,"call_ms":20,"item_ms":2,
			"headroom_mb":1,"handle_s":4}}],
			"limits":{"max_header_bytes":4000,"max_body_bytes":20000,"header_timeout_ms":800,"idle_timeout_ms":3000},
			"tenants":[{"name":"workspace-1","api_keys":[%s]}]}
			""";

	private static final String NODE = """
			{"node_name":"%s","ip":"%s","zone":"z1",
			"listen":{"front":"%s:%d","ready_address":"%s:%d"},
			"internal_ports":[%d],
			"bounds":{"contact_ms":3000,"drain_ms":2000,"config_apply_ms":2000,"grace_s":8,"retry_budget_ratio":%s,
			"retry_budget_extra":%s,"budget_window_s":10%s},
			"platform_settings":{"address":"%s"}}
			""";

	private static final String READINESS = "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

	private static final int CONNECT_MILLIS = 1_000;

	private static final int READINESS_MILLIS = 1_000;

	private static final int FIRST_PORT = 12_000;

	private static final int PORT_COUNT = 18_000;

	/** Starts anywhere, so that processes beside each other take different ports. */
	private static final AtomicInteger NEXT_PORT = new AtomicInteger(new SecureRandom().nextInt(PORT_COUNT));

	private EmulatedSettings() {
	}

	/**
	 * Returns a configuration with a route for each kind of request.
	 * @param version its version
	 * @param plainPrefixes prefixes of further routes to the plain service
	 * @return its text
	 */
	public static String configuration(long version, List<String> plainPrefixes) {
		return configuration(version, plainPrefixes, List.of());
	}

	/**
	 * Returns a configuration with a route for each kind of request.
	 * @param version its version
	 * @param plainPrefixes prefixes of further routes to the plain service
	 * @param keys further keys of the only workspace
	 * @return its text
	 */
	public static String configuration(long version, List<String> plainPrefixes, List<String> keys) {
		StringBuilder routes = new StringBuilder(PLAIN_ROUTE.formatted("look", "/look/"));
		for (String prefix : plainPrefixes) {
			routes.append(PLAIN_ROUTE.formatted("plain" + prefix.replace('/', '-'), prefix));
		}
		StringBuilder quotedKeys = new StringBuilder(quoted(KEY));
		keys.forEach((key) -> quotedKeys.append(',').append(quoted(key)));
		return CONFIGURATION.formatted(version, routes, quotedKeys);
	}

	private static String quoted(String text) {
		return '"' + text + '"';
	}

	/**
	 * Returns the row of an endpoint.
	 * @param service its service
	 * @param address host and port
	 * @param slots how many requests it works on at once
	 * @param state what it says of itself
	 * @return the text of the row
	 */
	public static String endpoint(String service, String address, int slots, String state) {
		return endpoint(service, address, slots, state, new Write(1, 1));
	}

	/**
	 * Returns the row of an endpoint.
	 * @param service its service
	 * @param address host and port
	 * @param slots how many requests it works on at once
	 * @param state what it says of itself
	 * @param write which write of which process it is
	 * @return the text of the row
	 */
	public static String endpoint(String service, String address, int slots, String state, Write write) {
		return endpoint(service, address, ZONE, slots, state, write);
	}

	/**
	 * Returns the row of an endpoint.
	 * @param service its service
	 * @param address host and port
	 * @param zone its zone
	 * @param slots how many requests it works on at once
	 * @param state what it says of itself
	 * @param write which write of which process it is
	 * @return the text of the row
	 */
	public static String endpoint(String service, String address, String zone, int slots, String state, Write write) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
				+ "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
				+ "\",\"cold_left_ms\":0,\"seq\":" + write.sequence() + ",\"born\":" + write.bornMillis() + "}";
	}

	/**
	 * Returns the settings file of a gateway.
	 * @param node where it runs
	 * @param budget repeats that all gateways may make
	 * @param store host and port of the store
	 * @return its text
	 */
	public static String gateway(Node node, Budget budget, String store) {
		return gateway(node, budget, store, "");
	}

	/**
	 * Returns the settings file of a gateway with a bound for evacuations of zones.
	 * @param node where it runs
	 * @param budget repeats that all gateways may make
	 * @param store host and port of the store
	 * @param evacuationMillis time within which an evacuation must be in force
	 * @return its text
	 */
	public static String gateway(Node node, Budget budget, String store, long evacuationMillis) {
		return gateway(node, budget, store, ",\"evacuate_ms\":" + evacuationMillis);
	}

	private static String gateway(Node node, Budget budget, String store, String furtherBounds) {
		return NODE.formatted(node.name(), node.ip(), node.ip(), node.callerPort(), node.ip(), node.readinessPort(),
				node.internalPort(), budget.ratio(), budget.constant(), furtherBounds, store);
	}

	/**
	 * Where a gateway runs.
	 *
	 * @param name its name
	 * @param ip its address
	 * @param callerPort port for callers
	 * @param readinessPort port that tells whether it is ready
	 * @param internalPort port for other gateways
	 */
	public record Node(String name, String ip, int callerPort, int readinessPort, int internalPort) {

		/**
		 * Returns a place with ports that nothing listens on.
		 * @param name name of the gateway
		 * @param ip a loopback address
		 * @return the place
		 * @throws IOException if no port is free
		 */
		public static Node withFreePorts(String name, String ip) throws IOException {
			return new Node(name, ip, freePort(ip), freePort(ip), freePort(ip));
		}

		// Below the ports that the system gives to outgoing connections: one of those may
		// be taken between this check and the start of the gateway.
		private static int freePort(String ip) throws IOException {
			BindException refused = new BindException("no free port at " + ip);
			for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
				int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
				try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
					return socket.getLocalPort();
				}
				catch (BindException ex) {
					refused.addSuppressed(ex);
				}
			}
			throw refused;
		}

		/**
		 * Connects to a port of the gateway.
		 * @param port one of its ports
		 * @return the connection
		 * @throws IOException if nothing listens
		 */
		public Socket connect(int port) throws IOException {
			Socket socket = new Socket();
			try {
				socket.connect(new InetSocketAddress(this.ip, port), CONNECT_MILLIS);
			}
			catch (IOException ex) {
				socket.close();
				throw ex;
			}
			socket.setTcpNoDelay(true);
			return socket;
		}

		/**
		 * Asks the gateway whether it is ready, as the platform does.
		 * @return the status, 200 if it is
		 * @throws IOException if it does not answer
		 */
		public int readiness() throws IOException {
			try (Socket socket = connect(this.readinessPort)) {
				socket.setSoTimeout(READINESS_MILLIS);
				RawServer.write(socket, READINESS);
				return CallerAnswer.read(socket.getInputStream()).status();
			}
		}

	}

	/**
	 * A write of an endpoint's row.
	 *
	 * @param bornMillis start of the endpoint's process
	 * @param sequence number of the write of this process
	 */
	public record Write(long bornMillis, long sequence) {
	}

	/**
	 * Repeats that all gateways together may make.
	 *
	 * @param ratio repeats for each request
	 * @param constant further repeats in each window
	 */
	public record Budget(double ratio, double constant) {
	}

}
