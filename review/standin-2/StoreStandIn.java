package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store as its pages describe it: rows in tables, a feed of their changes,
 * and objects. Each call is answered at once and completely.
 */
final class StoreStandIn {

	private record Key(String table, String part, String key) {
	}

	private record Change(long version, Key key, String value) {
	}

	private final HttpServer server;

	private final Map<Key, Change> rows = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private final Map<String, byte[]> objects = new TreeMap<>();

	private long version = 1;

	StoreStandIn() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	void stop() {
		this.server.stop(0);
	}

	/**
	 * Writes a row as the operator or a server would.
	 */
	synchronized void put(String table, String part, String key, String value) {
		change(new Key(table, part, key), Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
	}

	synchronized void remove(String table, String part, String key) {
		change(new Key(table, part, key), null);
	}

	private void change(Key key, String value) {
		this.version++;
		Change change = new Change(this.version, key, value);
		if (value == null) {
			this.rows.remove(key);
		}
		else {
			this.rows.put(key, change);
		}
		this.history.add(change);
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			String path = exchange.getRequestURI().getPath();
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			if (path.equals("/api/rows-get")) {
				answer(exchange, 200, get(query));
			}
			else if (path.equals("/api/rows-feed")) {
				answer(exchange, 200, feed(query));
			}
			else if (path.equals("/api/rows-tx")) {
				write(exchange, Json.readObject(new String(body, StandardCharsets.UTF_8)));
			}
			else if (path.startsWith("/api/blob-")) {
				object(exchange, path, body);
			}
			else {
				answer(exchange, 404, Map.of());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized Map<String, Object> get(Map<String, String> query) {
		TreeMap<String, Change> found = new TreeMap<>();
		for (Change change : this.rows.values()) {
			String key = change.key().key();
			if (change.key().table().equals(query.get("table"))
					&& change.key().part().equals(query.getOrDefault("part", ""))
					&& key.compareTo(query.getOrDefault("from", "")) >= 0
					&& (!query.containsKey("to") || key.compareTo(query.get("to")) < 0)) {
				found.put(key, change);
			}
		}
		return answer(found.values());
	}

	private synchronized Map<String, Object> feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long end = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
		while (true) {
			List<Change> changed = new ArrayList<>();
			for (Change change : this.history) {
				if (change.version() > after && change.key().table().equals(query.get("table"))) {
					changed.add(change);
				}
			}
			long remaining = (end - System.nanoTime()) / 1_000_000;
			if (!changed.isEmpty() || remaining <= 0) {
				return answer(changed);
			}
			wait(remaining);
		}
	}

	private Map<String, Object> answer(Collection<Change> changes) {
		List<Object> list = new ArrayList<>();
		for (Change change : changes) {
			Map<String, Object> row = new LinkedHashMap<>();
			row.put("table", change.key().table());
			row.put("part", change.key().part());
			row.put("key", change.key().key());
			if (change.value() == null) {
				row.put("tombstone", true);
			}
			else {
				row.put("value", change.value());
			}
			row.put("ver", change.version());
			list.add(row);
		}
		Map<String, Object> answer = new LinkedHashMap<>();
		answer.put("rows", list);
		answer.put("has_more", false);
		answer.put("ver", this.version);
		answer.put("now_ms", System.nanoTime() / 1_000_000);
		return answer;
	}

	@SuppressWarnings("unchecked")
	private void write(HttpExchange exchange, Map<String, Object> call) throws IOException {
		int status = 200;
		Map<String, Object> answer;
		synchronized (this) {
			for (Object expected : (List<Object>) call.getOrDefault("expected", List.of())) {
				Map<String, Object> row = (Map<String, Object>) expected;
				Change present = this.rows.get(key(row));
				long found = (present != null) ? present.version() : 0;
				if (found != ((Number) row.get("ver")).longValue()) {
					status = 412;
				}
			}
			for (String list : List.of("writes", "remove")) {
				for (Object changed : (List<Object>) call.getOrDefault(list, List.of())) {
					Map<String, Object> row = (Map<String, Object>) changed;
					String table = key(row).table();
					if (table.equals("op") || table.equals("servers")) {
						status = 403;
					}
					if (status == 200) {
						change(key(row), list.equals("writes") ? (String) row.get("value") : null);
					}
				}
			}
			answer = answer(List.of());
		}
		answer(exchange, status, answer);
	}

	private static Key key(Map<String, Object> row) {
		return new Key((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"));
	}

	private void object(HttpExchange exchange, String path, byte[] body) throws IOException {
		String id = path.substring(path.lastIndexOf('/') + 1);
		if (path.startsWith("/api/blob-put/")) {
			this.objects.put(id, body);
			answer(exchange, 200, Map.of());
		}
		else if (path.equals("/api/blob-list")) {
			answer(exchange, 200, Map.of("names", new ArrayList<>(this.objects.keySet()), "has_more", false));
		}
		else {
			answer(exchange, 404, Map.of());
		}
	}

	private static void answer(HttpExchange exchange, int status, Object body) throws IOException {
		byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		if (text != null) {
			for (String field : text.split("&")) {
				int at = field.indexOf('=');
				query.put(field.substring(0, at), URLDecoder.decode(field.substring(at + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

}
