import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it: rows, their feed, and objects. */
final class Store {

	private static final int MAXIMUM_ROWS = 500;

	private final Map<String, Row> rows = new TreeMap<>();

	private final Map<String, byte[]> objects = new TreeMap<>();

	private final long started = System.nanoTime();

	private final String address;

	private long version;

	Store(String ip) throws IOException {
		this.address = Http.serve(ip, this::handle);
	}

	String address() {
		return this.address;
	}

	private record Row(String table, String part, String key, String value, long version, boolean removed) {

		String json() {
			return "{\"table\":" + Json.quote(this.table) + ",\"part\":" + Json.quote(this.part) + ",\"key\":"
					+ Json.quote(this.key) + ",\"value\":\"" + this.value + "\",\"ver\":" + this.version
					+ (this.removed ? ",\"tombstone\":true}" : "}");
		}

	}

	private static String id(String table, String part, String key) {
		return table + "\u0000" + part + "\u0000" + key;
	}

	/** Writes a row, as the operator or a server does. */
	synchronized void put(String table, String key, String text) {
		this.version++;
		write(table, "", key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), false);
		notifyAll();
	}

	/** Removes a row. */
	synchronized void remove(String table, String key) {
		this.version++;
		write(table, "", key, "", true);
		notifyAll();
	}

	private void write(String table, String part, String key, String value, boolean removed) {
		this.rows.put(id(table, part, key), new Row(table, part, key, value, this.version, removed));
	}

	/** Returns the keys of a table. */
	synchronized List<String> keys(String table) {
		return this.rows.values().stream().filter((row) -> row.table.equals(table) && !row.removed)
			.map(Row::key).toList();
	}

	private void handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
		String target = request.target();
		String path = target.split("\\?")[0];
		if (path.equals("/api/rows-get")) {
			Http.answer(out, 200, "Content-Type: application/json\r\n", get(target));
		}
		else if (path.equals("/api/rows-feed")) {
			Http.answer(out, 200, "Content-Type: application/json\r\n", feed(target));
		}
		else if (path.equals("/api/rows-tx")) {
			Map<String, Object> call = Json.object(Json.read(request.text()));
			int status = transact(call);
			Http.answer(out, status, "Content-Type: application/json\r\n",
					(status == 412) ? "{\"rows\":[" + expectedRows(call) + "]," + state() + "}" : "{" + state() + "}");
		}
		else if (path.startsWith("/api/blob-")) {
			object(request, path, out);
		}
		else {
			Http.answer(out, 404, "", "");
		}
	}

	private synchronized void object(Http.Message request, String path, OutputStream out) throws IOException {
		String name = path.substring(path.indexOf('/', 5) + 1);
		if (path.startsWith("/api/blob-put/")) {
			boolean present = this.objects.containsKey(name) && request.header("If-None-Match").equals("*");
			if (!present) {
				this.objects.put(name, request.body());
			}
			Http.answer(out, present ? 412 : 200, "", "");
		}
		else if (path.startsWith("/api/blob-get/")) {
			byte[] body = this.objects.get(name);
			Http.answer(out, (body != null) ? 200 : 404, "", (body != null) ? body : new byte[0]);
		}
		else if (path.startsWith("/api/blob-drop/")) {
			this.objects.remove(name);
			Http.answer(out, 200, "", "");
		}
		else {
			List<String> names = new ArrayList<>();
			this.objects.keySet().stream().limit(1_000).forEach((key) -> names.add(Json.quote(key)));
			Http.answer(out, 200, "", "{\"names\":[" + String.join(",", names) + "],\"has_more\":false}");
		}
	}

	private synchronized String state() {
		return "\"ver\":" + this.version + ",\"now_ms\":" + (System.nanoTime() - this.started) / 1_000_000;
	}

	static Map<String, String> query(String target) {
		Map<String, String> query = new HashMap<>();
		int mark = target.indexOf('?');
		if (mark >= 0) {
			for (String pair : target.substring(mark + 1).split("&")) {
				int equals = pair.indexOf('=');
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	private synchronized String get(String target) {
		Map<String, String> query = query(target);
		int limit = Math.min(MAXIMUM_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAXIMUM_ROWS)));
		List<String> found = new ArrayList<>();
		boolean more = false;
		for (Row row : this.rows.values()) {
			boolean wanted = row.table.equals(query.get("table")) && row.part.equals(query.getOrDefault("part", ""))
					&& !row.removed && row.key.compareTo(query.getOrDefault("from", "")) >= 0
					&& (!query.containsKey("to") || row.key.compareTo(query.get("to")) < 0);
			if (wanted && found.size() == limit) {
				more = true;
			}
			else if (wanted) {
				found.add(row.json());
			}
		}
		return "{\"rows\":[" + String.join(",", found) + "],\"has_more\":" + more + "," + state() + "}";
	}

	private synchronized String feed(String target) throws InterruptedException {
		Map<String, String> query = query(target);
		long after = Long.parseLong(query.get("after"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (true) {
			List<Row> changed = this.rows.values().stream()
				.filter((row) -> row.table.equals(query.get("table")) && row.version > after)
				.sorted(Comparator.comparingLong(Row::version)).toList();
			long left = (end - System.nanoTime()) / 1_000_000;
			if (!changed.isEmpty() || left <= 0) {
				return "{\"rows\":[" + String.join(",", changed.stream().map(Row::json).toList()) + "]," + state()
						+ "}";
			}
			wait(left);
		}
	}

	private synchronized int transact(Map<String, Object> call) {
		for (Object entry : Json.list(call.get("expected"))) {
			Map<String, Object> row = Json.object(entry);
			Row present = this.rows.get(key(row));
			long known = (present == null || present.removed) ? 0 : present.version;
			if (known != Json.number(row.get("ver"))) {
				return 412;
			}
		}
		for (String list : List.of("writes", "remove")) {
			for (Object entry : Json.list(call.get(list))) {
				if (List.of("op", "servers").contains(Json.object(entry).get("table"))) {
					return 403;
				}
			}
		}
		this.version++;
		for (Object entry : Json.list(call.get("writes"))) {
			Map<String, Object> row = Json.object(entry);
			write((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"),
					(String) row.get("value"), false);
		}
		for (Object entry : Json.list(call.get("remove"))) {
			Map<String, Object> row = Json.object(entry);
			write((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"), "", true);
		}
		notifyAll();
		return 200;
	}

	private synchronized String expectedRows(Map<String, Object> call) {
		List<String> present = new ArrayList<>();
		for (Object entry : Json.list(call.get("expected"))) {
			Row row = this.rows.get(key(Json.object(entry)));
			if (row != null && !row.removed) {
				present.add(row.json());
			}
		}
		return String.join(",", present);
	}

	private static String key(Map<String, Object> row) {
		return id((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"));
	}

}
