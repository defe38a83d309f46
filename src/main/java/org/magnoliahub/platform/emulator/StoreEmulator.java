package org.magnoliahub.platform.emulator;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * The platform's store in memory: rows, their feed, and outages on demand. It can come
 * back from an older copy of itself.
 */
public final class StoreEmulator implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long FEED_STEP_MILLIS = 10;

	private static final long SLOW_MILLIS = 700;

	private final RawServer server;

	private final Map<String, Map<String, Row>> tables = new HashMap<>();

	private final EmulatedObjects objects = new EmulatedObjects();

	private long revision;

	private final AtomicInteger calls = new AtomicInteger();

	private volatile Mode mode = Mode.SOUND;

	private volatile RawServer.@Nullable Handler otherAnswer;

	private long oldestRevision;

	private final ChangeHistory history = new ChangeHistory();

	private volatile long era = 1;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final Map<Socket, String> previousAnswers = new ConcurrentHashMap<>();

	private final Set<Socket> silentConnections = ConcurrentHashMap.newKeySet();

	/**
	 * Starts an empty store.
	 * @throws IOException if it cannot listen
	 */
	public StoreEmulator() throws IOException {
		this.server = RawServer.start(this::handle);
	}

	/**
	 * Returns where it listens.
	 * @return host and port
	 */
	public String address() {
		return this.server.address();
	}

	/**
	 * Lets it fail or work.
	 * @param newMode how it answers from now on
	 */
	public void setMode(Mode newMode) {
		this.mode = newMode;
	}

	/**
	 * Sets a row.
	 * @param table the table
	 * @param key key of the row
	 * @param value its text
	 */
	public synchronized void put(String table, String key, String value) {
		set(table, key, new Row(value.getBytes(StandardCharsets.UTF_8), this.revision + 1, false));
	}

	private void set(String table, String key, Row row) {
		Map<String, Row> rows = this.tables.computeIfAbsent(table, (name) -> new HashMap<>());
		Row before = rows.get(key);
		this.history.add(() -> restore(rows, key, before), this.revision);
		rows.put(key, row);
		this.revision++;
	}

	/**
	 * Removes a row.
	 * @param table the table
	 * @param key key of the row
	 */
	public synchronized void remove(String table, String key) {
		set(table, key, new Row(new byte[0], this.revision + 1, true));
	}

	/**
	 * Comes back from a copy: what was written since is gone, and revisions are given out
	 * again.
	 * @param millis age of the copy, in milliseconds
	 */
	public synchronized void rollBack(long millis) {
		this.revision = this.history.undo(millis, this.revision);
		this.oldestRevision = Math.min(this.oldestRevision, this.revision);
		this.era++;
	}

	private static void restore(Map<String, Row> rows, String key, @Nullable Row before) {
		if (before == null) {
			rows.remove(key);
		}
		else {
			rows.put(key, before);
		}
	}

	/**
	 * Returns the era of the data.
	 * @return rises by one with each return from a copy
	 */
	public long era() {
		return this.era;
	}

	/**
	 * Loses the history and the removals in it.
	 */
	public synchronized void forgetHistory() {
		this.oldestRevision = this.revision;
		this.tables.values().forEach((rows) -> rows.values().removeIf(Row::removed));
	}

	/**
	 * Counts rows.
	 * @param table the table
	 * @return number of its rows
	 */
	public synchronized int count(String table) {
		return keys(table).size();
	}

	/**
	 * Returns the keys of a table.
	 * @param table the table
	 * @return keys of its rows
	 */
	public synchronized List<String> keys(String table) {
		return this.tables.getOrDefault(table, Map.of())
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().removed())
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Lets something else answer all calls.
	 * @param handler answers from now on, or {@code null} for the store itself
	 */
	public void setAnswer(RawServer.@Nullable Handler handler) {
		this.otherAnswer = handler;
	}

	/**
	 * Leaves the open connections without any further answer, while new ones work.
	 */
	public void silenceConnections() {
		this.silentConnections.addAll(this.connections);
	}

	private void handle(RawServer.Request request, Socket socket) throws IOException {
		this.connections.add(socket);
		if (this.silentConnections.contains(socket)) {
			return;
		}
		RawServer.Handler other = this.otherAnswer;
		if (other != null) {
			other.handle(request, socket);
			return;
		}
		switch (this.mode) {
			case SILENT -> {
				return;
			}
			case BUSY -> {
				answer(socket, 503, "");
				return;
			}
			case RESET -> {
				RawServer.reset(socket);
				return;
			}
			case UNEVEN -> {
				if (this.calls.incrementAndGet() % 2 == 0) {
					answer(socket, 503, "");
					return;
				}
			}
			case SLOW -> pause(SLOW_MILLIS);
			default -> {
			}
		}
		String target = request.target();
		if (this.mode == Mode.LOSES_ANSWERS && !target.startsWith("/api/rows-tx")) {
			RawServer.reset(socket);
		}
		else if (target.startsWith("/api/rows-get")) {
			answer(socket, 200, list(parameter(target, "table")));
		}
		else if (target.startsWith("/api/rows-feed")) {
			feed(socket, parameter(target, "table"), Long.parseLong(parameter(target, "after")),
					Long.parseLong(parameter(target, "wait_ms")));
		}
		else if (target.startsWith("/api/blob-")) {
			EmulatedObjects.Answer answer = answerObjectCall(request);
			answer(socket, answer.status(), answer.body());
		}
		else {
			boolean done = change(MAPPER.readTree(request.body()));
			if (this.mode == Mode.LOSES_ANSWERS) {
				RawServer.reset(socket);
				return;
			}
			answer(socket, done ? 200 : 412, "{\"ver\":" + this.revision + ",\"now_ms\":1}");
		}
	}

	private synchronized EmulatedObjects.Answer answerObjectCall(RawServer.Request request) {
		return this.objects.answer(request, this.history, this.revision);
	}

	/**
	 * Counts objects.
	 * @return number of objects
	 */
	public int objectCount() {
		return this.objects.count();
	}

	private synchronized boolean change(JsonNode call) {
		for (JsonNode row : call.path("expected")) {
			Row present = this.tables.getOrDefault(row.path("table").asText(), Map.of()).get(row.path("key").asText());
			long revision = (present == null || present.removed) ? 0 : present.revision;
			if (revision != row.path("ver").asLong()) {
				return false;
			}
		}
		for (JsonNode row : call.path("writes")) {
			put(row.path("table").asText(), row.path("key").asText(),
					new String(Base64.getDecoder().decode(row.path("value").asText()), StandardCharsets.UTF_8));
		}
		for (JsonNode row : call.path("remove")) {
			remove(row.path("table").asText(), row.path("key").asText());
		}
		return true;
	}

	private synchronized String list(String table) {
		return rows(table, 0, false);
	}

	private synchronized String changes(String table, long after) {
		return isUnknown(after) ? "" : rows(table, after, true);
	}

	private boolean isUnknown(long after) {
		return after < this.oldestRevision || after > this.revision;
	}

	private void feed(Socket socket, String table, long after, long waitMillis) throws IOException {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		while (!hasChanges(table, after) && System.nanoTime() < end && this.mode == Mode.SOUND) {
			pause(FEED_STEP_MILLIS);
		}
		String body = changes(table, after);
		answer(socket, body.isEmpty() ? 410 : 200, body);
	}

	private synchronized boolean hasChanges(String table, long after) {
		return isUnknown(after)
				|| this.tables.getOrDefault(table, Map.of()).values().stream().anyMatch((row) -> row.revision > after);
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String rows(String table, long after, boolean withRemovals) {
		ObjectNode root = MAPPER.createObjectNode();
		List<Map.Entry<String, Row>> rows = new ArrayList<>(this.tables.getOrDefault(table, Map.of()).entrySet());
		rows.sort((a, b) -> Long.compare(a.getValue().revision, b.getValue().revision));
		for (Map.Entry<String, Row> entry : rows) {
			Row row = entry.getValue();
			if (row.revision <= after || (row.removed && !withRemovals)) {
				continue;
			}
			ObjectNode node = root.withArray("rows").addObject();
			node.put("table", table).put("part", "").put("key", entry.getKey()).put("ver", row.revision);
			node.put("value", Base64.getEncoder().encodeToString(row.value));
			if (row.removed) {
				node.put("tombstone", true);
			}
		}
		root.put("has_more", false).put("ver", this.revision).put("now_ms", 1);
		return root.toString();
	}

	static String parameter(String target, String name) {
		int at = target.indexOf(name + "=") + name.length() + 1;
		int end = target.indexOf('&', at);
		return target.substring(at, (end < 0) ? target.length() : end);
	}

	private void answer(Socket socket, int status, String body) throws IOException {
		if (this.silentConnections.contains(socket)) {
			return;
		}
		String text = "HTTP/1.1 " + status + " X\r\nStore-Era: " + this.era + "\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
		String previous = this.previousAnswers.put(socket, text);
		RawServer.write(socket, (this.mode == Mode.REPEATS_ANSWERS && previous != null) ? previous + text : text);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/**
	 * Ways to answer.
	 */
	public enum Mode {

		/** Answers all calls. */
		SOUND,

		/** Answers none. */
		SILENT,

		/** Refuses all. */
		BUSY,

		/** Refuses every other call. */
		UNEVEN,

		/** Resets connections instead of answers. */
		RESET,

		/** Answers late. */
		SLOW,

		/** Does what it is told and resets the connection instead of the answer. */
		LOSES_ANSWERS,

		/** Sends the previous answer of a connection once more before each answer. */
		REPEATS_ANSWERS

	}

	private record Row(byte[] value, long revision, boolean removed) {
	}

}
