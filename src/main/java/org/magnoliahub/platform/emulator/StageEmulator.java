package org.magnoliahub.platform.emulator;

import java.io.IOException;
import java.net.Socket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stage endpoints that check the inputs of each piece and count the results they hold.
 */
public final class StageEmulator {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Shorter than the time after which gateways give up a call. */
	private static final long SLOW_CALL_MILLIS = 500;

	private final long callMillis;

	private final int inputCount;

	private final Set<String> held = ConcurrentHashMap.newKeySet();

	private final List<String> faults = new CopyOnWriteArrayList<>();

	private final AtomicInteger largest = new AtomicInteger();

	private final AtomicInteger next = new AtomicInteger();

	private volatile boolean slow;

	/**
	 * Creates endpoints that hold nothing.
	 * @param callMillis how long a call takes
	 * @param inputCount inputs that each piece of a later stage has
	 */
	public StageEmulator(long callMillis, int inputCount) {
		this.callMillis = callMillis;
		this.inputCount = inputCount;
	}

	/**
	 * Returns what answers the calls of an endpoint.
	 * @return a handler, for any number of servers
	 */
	public RawServer.Handler handler() {
		return (request, socket) -> handle(request, socket, "127.0.0.1:" + socket.getLocalPort());
	}

	/**
	 * Lets calls take much longer, so that pieces queue at gateways.
	 * @param newSlow whether they do from now on
	 */
	public void setSlow(boolean newSlow) {
		this.slow = newSlow;
	}

	/**
	 * Returns what was wrong with pieces.
	 * @return texts for people
	 */
	public List<String> faults() {
		return this.faults;
	}

	/**
	 * Returns the size of the largest call.
	 * @return number of pieces
	 */
	public int largestCall() {
		return this.largest.get();
	}

	/**
	 * Returns how many results were not given up.
	 * @return number of results
	 */
	public int held() {
		return this.held.size();
	}

	private void handle(RawServer.Request request, Socket socket, String address) throws IOException {
		JsonNode call = MAPPER.readTree(request.body());
		String body = "{}";
		if (request.target().equals("/api/stage-free")) {
			call.path("handles").forEach((handle) -> this.held.remove(handle.asText()));
		}
		else {
			body = run(call.path("items"), address).toString();
		}
		RawServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	private ObjectNode run(JsonNode items, String address) throws IOException {
		this.largest.accumulateAndGet(items.size(), Math::max);
		try {
			Thread.sleep(this.slow ? SLOW_CALL_MILLIS : this.callMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		ObjectNode answer = MAPPER.createObjectNode();
		for (JsonNode item : items) {
			check(item);
			String handle = address + "/" + item.path("id").asText() + "-" + item.path("piece").asInt() + "-"
					+ this.next.incrementAndGet();
			this.held.add(handle);
			answer.withArray("items").addObject().put("handle", handle);
		}
		return answer;
	}

	private void check(JsonNode item) {
		String id = item.path("id").asText();
		if (item.path("stage").asInt() == 0) {
			if (!item.path("key").asText().equals("k" + id.substring(1))) {
				this.faults.add("wrong key of " + id);
			}
			return;
		}
		Set<String> inputs = new HashSet<>();
		item.path("inputs").forEach((input) -> inputs.add(input.asText()));
		boolean own = inputs.stream().allMatch((input) -> input.contains("/" + id + "-"));
		if (!own || inputs.size() != this.inputCount || item.path("inputs").size() != this.inputCount) {
			this.faults.add("wrong inputs of " + id + ": " + item.path("inputs"));
		}
	}

}
