package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;

import org.awaitility.Awaitility;
import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StoreEmulator;
import org.magnoliahub.serving.BodyMemory;

/**
 * Gateways in the test process, with an emulated store and servers with scripted
 * responses.
 */
final class EntryFixture implements AutoCloseable {

	static final String API_KEY = EmulatedSettings.KEY;

	private static final Duration RECORD_INTERVAL = Duration.ofSeconds(2);

	final StoreEmulator store = new StoreEmulator();

	private final List<RawServer> servers = new ArrayList<>();

	private final Map<String, String> endpointAddresses = new HashMap<>();

	private final List<String> log = Collections.synchronizedList(new ArrayList<>());

	private volatile boolean reportsState = true;

	private final AtomicLong loopPauseMillis = new AtomicLong();

	private final List<EmulatedSettings.Node> nodes = new ArrayList<>();

	private final List<EntryGateway> gateways = new ArrayList<>();

	EntryFixture() throws IOException {
	}

	/**
	 * Starts one gateway with configuration version 1 and no endpoints.
	 */
	static EntryFixture start() throws IOException, PlatformFormatException {
		return start(Long.MAX_VALUE, Long.MAX_VALUE);
	}

	/**
	 * Starts one gateway that keeps bodies within limits.
	 */
	static EntryFixture start(long requestBytes, long responseBytes) throws IOException, PlatformFormatException {
		EntryFixture fixture = new EntryFixture();
		fixture.putConfiguration(1);
		fixture.addGateway(fixture.store.address(), requestBytes, responseBytes);
		fixture.awaitReady(0);
		return fixture;
	}

	void putConfiguration(int version) {
		this.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(version, List.of()));
	}

	void putConfigurationWithoutRoute(int version, String route) {
		this.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(version, List.of()).replace("/" + route + "/", "/gone/"));
	}

	int addGateway() throws IOException, PlatformFormatException {
		return addGateway(this.store.address());
	}

	/**
	 * Starts a gateway that reaches the store at another address.
	 */
	int addGateway(String storeAddress) throws IOException, PlatformFormatException {
		return addGateway(storeAddress, Long.MAX_VALUE, Long.MAX_VALUE);
	}

	/**
	 * Starts a gateway with other settings.
	 */
	int addGateway(UnaryOperator<String> settingsChange) throws IOException, PlatformFormatException {
		return addGateway(this.store.address(), Long.MAX_VALUE, Long.MAX_VALUE, settingsChange);
	}

	/**
	 * Starts a gateway whose settings have further bounds.
	 */
	int addGatewayWithBounds(String bounds) throws IOException, PlatformFormatException {
		return addGateway((settings) -> settings.replace("\"bounds\":{", "\"bounds\":{" + bounds + ","));
	}

	private int addGateway(String storeAddress, long requestBytes, long responseBytes)
			throws IOException, PlatformFormatException {
		return addGateway(storeAddress, requestBytes, responseBytes, UnaryOperator.identity());
	}

	private int addGateway(String storeAddress, long requestBytes, long responseBytes,
			UnaryOperator<String> settingsChange) throws IOException, PlatformFormatException {
		int index = this.gateways.size();
		EmulatedSettings.Node node = EmulatedSettings.Node.withFreePorts("gateway-" + index, "127.0.0.1");
		String text = EmulatedSettings.gateway(node, new EmulatedSettings.Budget(0.2, 58), storeAddress);
		NodeSettings settings = NodeSettingsReader.parse(settingsChange.apply(text));
		this.gateways.add(EntryGateway.start(settings, RECORD_INTERVAL, this::onOutput, new BodyMemory(requestBytes),
				new BodyMemory(responseBytes)));
		this.nodes.add(node);
		return index;
	}

	// Called on the event loop.
	private void onOutput(String lines) {
		this.log.add(lines);
		long pause = this.loopPauseMillis.getAndSet(0);
		if (pause > 0) {
			LockSupport.parkNanos(Duration.ofMillis(pause).toNanos());
		}
	}

	/**
	 * Blocks the event loop of a gateway when it next writes to its log, and waits until
	 * that begins.
	 */
	void pauseLoop(Duration duration) {
		this.loopPauseMillis.set(duration.toMillis());
		Awaitility.await().pollInterval(Duration.ofMillis(5)).until(() -> this.loopPauseMillis.get() == 0);
	}

	EntryGateway gateway(int index) {
		return this.gateways.get(index);
	}

	/**
	 * Starts a server and lists it in the store as an endpoint. It reports its state
	 * unless {@link #leaveStateRequestsUnanswered()} was called.
	 */
	RawServer addEndpoint(String id, String service, RawServer.Handler handler) throws IOException {
		RawServer server = RawServer.start((request, socket) -> {
			if (request.target().equals(PlatformHeaders.ENGINE_STATE_PATH)) {
				reportState(socket);
				return;
			}
			handler.handle(request, socket);
		});
		this.servers.add(server);
		this.endpointAddresses.put(id, server.address());
		listEndpoint(id, service, server.address(), "ready");
		return server;
	}

	/**
	 * Starts a server and lists it in the store as an endpoint in a zone.
	 */
	void addEndpoint(String id, String service, String zone, RawServer.Handler handler) throws IOException {
		String address = addEndpoint(id, service, handler).address();
		this.store.put(StoreFormat.ENDPOINT_TABLE, id,
				EmulatedSettings.endpoint(service, address, 4, "ready", new EmulatedSettings.Write(1, 2))
					.replace("\"zone\":\"z1\"", "\"zone\":\"" + zone + "\""));
	}

	private void reportState(Socket socket) throws IOException {
		if (this.reportsState) {
			RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
			return;
		}
		// Reads until the gateway closes the connection.
		while (socket.getInputStream().read() >= 0) {
			continue;
		}
		socket.close();
	}

	/**
	 * Lets silent endpoints give no sign of life at all, as if they had lost power.
	 */
	void leaveStateRequestsUnanswered() {
		this.reportsState = false;
	}

	/**
	 * Returns the address of an endpoint that was added before.
	 */
	String endpointAddress(String id) {
		return this.endpointAddresses.getOrDefault(id, "");
	}

	void listEndpoint(String id, String service, String address, String state) {
		this.store.put(StoreFormat.ENDPOINT_TABLE, id, EmulatedSettings.endpoint(service, address, 4, state));
	}

	void awaitReady(int gateway) {
		Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> readinessStatus(gateway) == 200);
	}

	int readinessStatus(int gateway) throws IOException {
		return this.nodes.get(gateway).readiness();
	}

	/**
	 * Waits longer than gateways need to discover newly listed endpoints.
	 */
	void awaitEndpoints() throws InterruptedException {
		Thread.sleep(1_500);
	}

	Socket connect(int gateway) throws IOException {
		EmulatedSettings.Node node = this.nodes.get(gateway);
		Socket socket = node.connect(node.callerPort());
		socket.setSoTimeout(8_000);
		return socket;
	}

	/**
	 * Connects to the port of a gateway for other gateways.
	 */
	Socket connectAsPeer(int gateway) throws IOException {
		EmulatedSettings.Node node = this.nodes.get(gateway);
		Socket socket = node.connect(node.internalPort());
		socket.setSoTimeout(8_000);
		return socket;
	}

	CallerAnswer send(String method, String target, String id, String... headers) throws IOException {
		return sendTo(0, method, target, id, headers);
	}

	CallerAnswer sendTo(int gateway, String method, String target, String id, String... headers) throws IOException {
		try (Socket socket = connect(gateway)) {
			RawServer.write(socket, request(method, target, id, headers));
			return CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
		}
	}

	static String request(String method, String target, String id, String... headers) {
		StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
				+ "\r\nAuthorization: Bearer " + API_KEY + "\r\n");
		for (String header : headers) {
			text.append(header).append("\r\n");
		}
		return text.append(method.equals("POST") ? "Content-Length: 2\r\n\r\nhi" : "\r\n").toString();
	}

	String log() {
		// The gateway appends lines meanwhile.
		synchronized (this.log) {
			return String.join("", this.log);
		}
	}

	/**
	 * Waits, for example to let an endpoint respond late.
	 */
	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static String signedResponse(RawServer.Request request, String body) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: s\r\n"
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	static String notExecutedResponse(RawServer.Request request, int status) {
		return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
	}

	static String streamHead(RawServer.Request request) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
	}

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	static String event(int id) {
		return "id: " + id + "\ndata: piece\n\n";
	}

	@Override
	public void close() throws IOException {
		for (EntryGateway gateway : this.gateways) {
			gateway.halt();
		}
		for (RawServer server : this.servers) {
			server.close();
		}
		this.store.close();
	}

}
