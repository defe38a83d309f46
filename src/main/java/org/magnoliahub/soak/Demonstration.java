package org.magnoliahub.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedRequest;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StoreEmulator;

/**
 * Entry gateways as processes before an emulated platform: its store, plain servers,
 * engines and stage servers. Sends one request of each kind and tells what came back.
 */
public final class Demonstration implements AutoCloseable {

	/** Seconds between two objects with records, so that the report is soon there. */
	private static final String RECORD_SECONDS = "2";

	private static final EmulatedSettings.Budget BUDGET = new EmulatedSettings.Budget(0.2, 20);

	private static final int ENDPOINTS = 2;

	private static final int ANSWER_MILLIS = 8_000;

	private static final int SHOWN_CHARACTERS = 60;

	private final Path directory;

	private final StoreEmulator store;

	private final SoakEndpoints endpoints;

	private final List<GatewayChild> gateways = new ArrayList<>();

	private Demonstration(Path directory, StoreEmulator store, SoakEndpoints endpoints) {
		this.directory = directory;
		this.store = store;
		this.endpoints = endpoints;
	}

	/**
	 * Starts everything.
	 * @param count number of gateways, from 1 to 9
	 * @return the running system, to be closed
	 * @throws IOException if something cannot be started
	 * @throws InterruptedException if the wait is interrupted
	 */
	public static Demonstration start(int count) throws IOException, InterruptedException {
		StoreEmulator store = new StoreEmulator();
		store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(1, List.of()));
		Map<String, Integer> counts = new LinkedHashMap<>();
		List.of("plain", "model", "read", "rank").forEach((service) -> counts.put(service, ENDPOINTS));
		Demonstration started = new Demonstration(Files.createTempDirectory("magnoliahub-demo"), store,
				SoakEndpoints.start(store, new Ledger(), counts, List.of("z1")));
		try {
			started.startGateways(count);
			return started;
		}
		catch (IOException | InterruptedException ex) {
			started.close();
			throw ex;
		}
	}

	private void startGateways(int count) throws IOException, InterruptedException {
		String network = GatewayChild.network();
		for (int index = 0; index < count; index++) {
			GatewayChild gateway = GatewayChild.prepare("gateway-" + index, network + (index + 1), BUDGET,
					this.store.address(), this.directory);
			gateway.setRecordSeconds(RECORD_SECONDS);
			this.gateways.add(gateway);
			gateway.start();
		}
		for (GatewayChild gateway : this.gateways) {
			gateway.awaitReady();
		}
	}

	/**
	 * Returns where the store of the emulated platform listens.
	 * @return host and port
	 */
	public String storeAddress() {
		return this.store.address();
	}

	/**
	 * Returns where callers connect.
	 * @return host and port of each gateway
	 */
	public List<String> callerAddresses() {
		return this.gateways.stream().map(GatewayChild::callerAddress).toList();
	}

	/**
	 * Sends one request of each kind, and some that are refused.
	 * @param output takes a line for each
	 * @return whether each got the status that it should
	 * @throws IOException if a gateway does not answer
	 */
	public boolean sendRequests(Consumer<String> output) throws IOException {
		boolean expected = true;
		int number = 0;
		for (Example example : Example.values()) {
			GatewayChild gateway = this.gateways.get(number % this.gateways.size());
			CallerAnswer answer = send(gateway, example, "d" + number++);
			expected &= answer.status() == example.status;
			String body = answer.body().replace('\n', ' ');
			output.accept(example.method + " " + example.target + " (" + example.what + ") -> " + answer.status() + " "
					+ body.substring(0, Math.min(SHOWN_CHARACTERS, body.length())));
		}
		return expected;
	}

	private static CallerAnswer send(GatewayChild gateway, Example example, String id) throws IOException {
		EmulatedRequest request = new EmulatedRequest(example.method, example.target, id, example.pieces);
		String text = request.text(ANSWER_MILLIS).replace(EmulatedSettings.KEY, example.key);
		try (Socket socket = gateway.connect()) {
			socket.setSoTimeout(ANSWER_MILLIS);
			RawServer.write(socket, text);
			return CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
		}
	}

	@Override
	public void close() throws IOException, InterruptedException {
		for (GatewayChild gateway : this.gateways) {
			gateway.close();
		}
		this.endpoints.close();
		this.store.close();
	}

	private enum Example {

		LOOKUP("GET", "/look/1", EmulatedSettings.KEY, "", 200, "may be repeated"),

		ORDER("POST", "/order/1", EmulatedSettings.KEY, "", 200, "runs once at the most"),

		STREAM("POST", "/draft/1", EmulatedSettings.KEY, "", 200, "stream of an engine"),

		STAGES("POST", "/staged/1", EmulatedSettings.KEY, "2,2", 200, "two stages, then a stream"),

		UNKNOWN_KEY("GET", "/look/1", "another-key", "", 401, "key that nobody has"),

		UNKNOWN_ROUTE("GET", "/nothing/1", EmulatedSettings.KEY, "", 404, "route that does not exist");

		private final String method;

		private final String target;

		private final String key;

		private final String pieces;

		private final int status;

		private final String what;

		Example(String method, String target, String key, String pieces, int status, String what) {
			this.method = method;
			this.target = target;
			this.key = key;
			this.pieces = pieces;
			this.status = status;
			this.what = what;
		}

	}

}
