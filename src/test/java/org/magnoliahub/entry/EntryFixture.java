package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.awaitility.Awaitility;
import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;

/**
 * Gateways in this process before an emulated store and servers with scripted answers.
 */
final class EntryFixture implements AutoCloseable {

	static final String KEY = "key-1";

	private static final String CONFIGURATION = """
			{"version":%d,"routes":[
			{"name":"look","host":"h","prefix":"/look/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,
			"service":"plain","max_attempts":2},
			{"name":"order","host":"h","prefix":"/order/","kind":"non_idempotent","timeout_ms":1500,
			"target_latency_ms":300,"service":"plain","max_attempts":1},
			{"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":5000,
			"target_latency_ms":900,"service":"model","max_attempts":2,"resume_streams":true,"sticky":true},
			{"name":"once","host":"h","prefix":"/once/","kind":"streaming","timeout_ms":5000,
			"target_latency_ms":900,"service":"model","max_attempts":1,"resume_streams":false,"sticky":true},
			{"name":"staged","host":"h","prefix":"/staged/","kind":"streaming","timeout_ms":5000,
			"target_latency_ms":900,"service":"model","max_attempts":2,"resume_streams":true,"sticky":true,
			"stages":[{"service":"read","after":[],"size_bytes":100},{"service":"rank","after":[0],"size_bytes":100}]}],
			"services":[{"name":"plain","health_path":"/h"},{"name":"model","health_path":"/h","engine":{"slots":8}},
			{"name":"read","health_path":"/h","pieces":{"slots":1,"batch":4,"call_ms":20,"item_ms":2,
			"headroom_mb":1,"handle_s":4}},
			{"name":"rank","health_path":"/h","pieces":{"slots":1,"batch":4,"call_ms":20,"item_ms":2,
			"headroom_mb":1,"handle_s":4}}],
			"limits":{"max_header_bytes":4000,"max_body_bytes":20000,"header_timeout_ms":800,"idle_timeout_ms":3000},
			"tenants":[{"name":"workspace-1","api_keys":["key-1"]}]}
			""";

	final StoreEmulator store = new StoreEmulator();

	private final List<AutoCloseable> opened = new ArrayList<>();

	private final List<String> log = Collections.synchronizedList(new ArrayList<>());

	private final List<Integer> callerPorts = new ArrayList<>();

	private final List<Integer> readinessPorts = new ArrayList<>();

	private final List<EntryGateway> gateways = new ArrayList<>();

	EntryFixture() throws IOException {
	}

	/**
	 * Starts with one gateway, the configuration, and no endpoint.
	 */
	static EntryFixture start() throws IOException, PlatformFormatException {
		EntryFixture fixture = new EntryFixture();
		fixture.configure(1);
		fixture.addGateway();
		fixture.awaitReady(0);
		return fixture;
	}

	void configure(int version) {
		this.store.put("op", "config", CONFIGURATION.formatted(version));
	}

	void configureWithout(int version, String route) {
		this.store.put("op", "config", CONFIGURATION.formatted(version).replace("/" + route + "/", "/gone/"));
	}

	int addGateway() throws IOException, PlatformFormatException {
		int index = this.gateways.size();
		int callers = freePort();
		int readiness = freePort();
		NodeSettings settings = NodeSettingsReader.parse("""
				node_name: "gateway-%d"
				ip: "127.0.0.1"
				zone: "z1"
				listen: {front: "127.0.0.1:%d", ready_address: "127.0.0.1:%d"}
				internal_ports: [%d]
				bounds: {drain_ms: 2000, config_apply_ms: 2000, grace_s: 8, retry_budget_ratio: 0.2,
				  retry_budget_extra: 58, budget_window_s: 10}
				platform_settings: {address: "%s"}
				""".formatted(index, callers, readiness, freePort(), this.store.address()));
		this.gateways.add(EntryGateway.start(settings, this.log::add));
		this.callerPorts.add(callers);
		this.readinessPorts.add(readiness);
		return index;
	}

	EntryGateway gateway(int index) {
		return this.gateways.get(index);
	}

	/**
	 * Starts a server and lists it as an endpoint.
	 */
	RawServer addEndpoint(String id, String service, RawServer.Handler handler) throws IOException {
		RawServer server = RawServer.start(handler);
		this.opened.add(server);
		list(id, service, server.address(), "ready");
		return server;
	}

	void list(String id, String service, String address, String state) {
		this.store.put("servers", id,
				"{\"service\":\"" + service + "\",\"address\":\"" + address
						+ "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":4,\"state\":\"" + state
						+ "\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}");
	}

	void awaitReady(int gateway) {
		Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> ready(gateway) == 200);
	}

	int ready(int gateway) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.readinessPorts.get(gateway))) {
			RawServer.write(socket, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
			return Answer.read(socket).status();
		}
	}

	/**
	 * Waits until endpoints that were just listed are known.
	 */
	void awaitEndpoints() throws InterruptedException {
		Thread.sleep(1_500);
	}

	Socket connect(int gateway) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.callerPorts.get(gateway));
		socket.setSoTimeout(8_000);
		return socket;
	}

	Answer send(String method, String target, String id, String... headers) throws IOException {
		return sendTo(0, method, target, id, headers);
	}

	Answer sendTo(int gateway, String method, String target, String id, String... headers) throws IOException {
		try (Socket socket = connect(gateway)) {
			RawServer.write(socket, request(method, target, id, headers));
			return Answer.read(socket);
		}
	}

	static String request(String method, String target, String id, String... headers) {
		StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
				+ "\r\nAuthorization: Bearer " + KEY + "\r\n");
		for (String header : headers) {
			text.append(header).append("\r\n");
		}
		return text.append(method.equals("POST") ? "Content-Length: 2\r\n\r\nhi" : "\r\n").toString();
	}

	String log() {
		return String.join("", this.log);
	}

	static String signed(RawServer.Request request, String body) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: s\r\n"
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	static String notExecuted(RawServer.Request request, int status) {
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

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	@Override
	public void close() throws IOException {
		for (EntryGateway gateway : this.gateways) {
			gateway.halt();
		}
		for (AutoCloseable server : this.opened) {
			closeQuietly(server);
		}
		this.store.close();
	}

	private static void closeQuietly(AutoCloseable server) throws IOException {
		try {
			server.close();
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new IOException(ex);
		}
	}

	/**
	 * What a caller got.
	 *
	 * @param status the status, zero if the connection was closed before an answer
	 * @param headers headers in lower case
	 * @param body the body as far as it came
	 * @param complete whether the body was complete
	 */
	record Answer(int status, Map<String, String> headers, String body, boolean complete) {

		static Answer read(Socket socket) throws IOException {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			String start = line(input);
			if (start.isEmpty()) {
				return new Answer(0, Map.of(), "", false);
			}
			Map<String, String> headers = new TreeMap<>();
			for (String header = line(input); !header.isEmpty(); header = line(input)) {
				int colon = header.indexOf(':');
				headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
			}
			int status = Integer.parseInt(start.split(" ")[1]);
			if (headers.containsKey("transfer-encoding")) {
				return chunked(input, status, headers);
			}
			int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
			byte[] body = input.readNBytes(length);
			return new Answer(status, headers, new String(body, StandardCharsets.UTF_8), body.length == length);
		}

		private static Answer chunked(InputStream input, int status, Map<String, String> headers) throws IOException {
			StringBuilder body = new StringBuilder();
			while (true) {
				String size = line(input);
				if (size.isEmpty()) {
					return new Answer(status, headers, body.toString(), false);
				}
				int length = Integer.parseInt(size, 16);
				body.append(new String(input.readNBytes(length), StandardCharsets.UTF_8));
				line(input);
				if (length == 0) {
					return new Answer(status, headers, body.toString(), true);
				}
			}
		}

		private static String line(InputStream input) throws IOException {
			StringBuilder text = new StringBuilder();
			int next = input.read();
			while (next >= 0 && next != '\n') {
				if (next != '\r') {
					text.append((char) next);
				}
				next = input.read();
			}
			return text.toString();
		}

	}

}
