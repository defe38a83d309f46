import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Sound servers of the platform: plain ones, model servers and stage servers. */
final class Servers {

	private static final long HEARTBEAT_MILLIS = 1_200;

	private final Store store;

	private final RunRecord record;

	private final String ip;

	private final String zone;

	private final AtomicLong nextHandle = new AtomicLong(0x5c1e07a2L);

	/** Results that lie at stage servers, by handle. */
	private final Map<String, Result> results = new ConcurrentHashMap<>();

	/** All results that were ever made, for the check. */
	private final Map<String, Result> made = new ConcurrentHashMap<>();

	/** What broke a rule, as seen by the servers. */
	private final List<String> violations = new CopyOnWriteArrayList<>();

	/** How often each request ran. */
	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final Map<String, String> ranAt = new ConcurrentHashMap<>();

	Servers(Store store, RunRecord record, String ip, String zone) {
		this.store = store;
		this.record = record;
		this.ip = ip;
		this.zone = zone;
	}

	/** A result of a piece. */
	record Result(String request, long stage, long piece, long madeAt) {
	}

	List<String> violations() {
		return this.violations;
	}

	Map<String, AtomicInteger> runs() {
		return this.runs;
	}

	/** What the servers of a service do with a request that was sent to them. */
	interface Work {

		void run(Http.Message request, Socket socket, OutputStream out) throws Exception;

	}

	private void serve(String id, String service, int slots, Work work) throws IOException {
		String address = Http.serve(this.ip, (request, socket, out) -> {
			String target = request.header("Target-Instance");
			if (!target.isEmpty() && !target.equals(id)) {
				Http.answer(out, 421, "Instance-Id: " + id + "\r\n", "");
				return;
			}
			if (request.target().equals("/healthz")) {
				Http.answer(out, 200, "Instance-Id: " + id + "\r\n", "");
				return;
			}
			if (request.header("Request-Id").isEmpty() && !request.target().startsWith("/api/")) {
				Http.answer(out, 400, "Not-Executed: 1\r\n", "");
				return;
			}
			work.run(request, socket, out);
		});
		this.record.write("server %s of %s at %s", id, service, address);
		AtomicLong sequence = new AtomicLong();
		long born = System.currentTimeMillis();
		Http.daemon(() -> {
			while (true) {
				this.store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address
						+ "\",\"zone\":\"" + this.zone + "\",\"version\":\"v1\",\"slots\":" + slots
						+ ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" + sequence.incrementAndGet()
						+ ",\"born\":" + born + "}");
				Thread.sleep(HEARTBEAT_MILLIS);
			}
		});
	}

	private void ran(String id, String what) {
		this.runs.computeIfAbsent(id, (key) -> new AtomicInteger()).incrementAndGet();
		this.record.write("run %s %s", id, what);
	}

	/** Starts a server that works for a while on each request and answers with a body that names it. */
	void plain(String id, String service, int slots, int queue, long workMillis) throws IOException {
		Semaphore places = new Semaphore(slots + queue);
		Semaphore working = new Semaphore(slots);
		serve(id, service, slots, (request, socket, out) -> {
			String requestId = request.header("Request-Id");
			if (!places.tryAcquire()) {
				Http.answer(out, 503, "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n", "");
				return;
			}
			try {
				working.acquire();
				ran(requestId, "at " + id + " body=" + request.body().length);
				Thread.sleep(workMillis);
				working.release();
			}
			finally {
				places.release();
			}
			Http.answer(out, 200, "Request-Id: " + requestId + "\r\nResponse-Signature: 3e1b." + requestId + "\r\n",
					"done " + requestId);
		});
	}

	/** Starts a model server that streams events, and checks the inputs of each request. */
	void model(String id, String service, int slots, int events, long gapMillis) throws IOException {
		serve(id, service, slots, (request, socket, out) -> {
			String requestId = request.header("Request-Id");
			String refusal = "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n";
			if (request.header("Inputs").isEmpty()) {
				Http.answer(out, 400, refusal, "");
				return;
			}
			String[] inputs = request.header("Inputs").split(",");
			for (String input : inputs) {
				if (!this.results.containsKey(input)) {
					Http.answer(out, 409, refusal, "");
					return;
				}
			}
			ran(requestId, "at " + id + " inputs=" + describe(List.of(inputs)));
			check("request " + requestId, requestId, List.of(inputs));
			out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b." + requestId
					+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int event = 1; event <= events; event++) {
				Thread.sleep(gapMillis);
				chunk(out, "id: " + event + "\ndata: " + requestId + " " + event + "\n\n");
			}
			chunk(out, "");
		});
	}

	static void chunk(OutputStream out, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private String describe(List<String> inputs) {
		List<String> texts = new ArrayList<>();
		for (String input : inputs) {
			Result result = this.made.get(input);
			texts.add((result != null) ? result.request() + "/" + result.stage() + "/" + result.piece() : input);
		}
		return String.join(",", texts);
	}

	private void check(String what, String requestId, List<String> inputs) {
		for (String input : inputs) {
			Result result = this.made.get(input);
			if (result != null && !result.request().equals(requestId)) {
				String text = what + " was given an input of request " + result.request() + " (piece "
						+ result.piece() + ")";
				this.violations.add(text);
				this.record.write("MIXED %s", text);
			}
		}
	}

	/** Starts a model server with slots, a queue and a memory of its own. */
	void engine(String id, String service, int slots, Engine engine) throws IOException {
		serve(id, service, slots, (request, socket, out) -> {
			String requestId = request.header("Request-Id");
			String refusal = "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n";
			List<String> inputs = request.header("Inputs").isEmpty() ? List.of()
					: List.of(request.header("Inputs").split(","));
			if (inputs.isEmpty() && !request.header("Pieces").isEmpty()) {
				Http.answer(out, 400, refusal, "");
				return;
			}
			if (!inputs.stream().allMatch(this.results::containsKey)) {
				Http.answer(out, 409, refusal, "");
				return;
			}
			this.ranAt.put(requestId, id);
			engine.run(request, socket, out);
		});
	}

	/** Returns the model server that a request was sent to last. */
	String ranAt(String request) {
		return this.ranAt.getOrDefault(request, "");
	}

	/** The figures of a stage service, as the manifest states them. */
	record Pool(int queue, long callMillis, double itemMillis, long handleMillis) {
	}

	/** Starts a stage server: one call at a time, some that wait, and its results. */
	void stage(String id, String service, Pool pool) throws IOException {
		Semaphore places = new Semaphore(1 + pool.queue());
		Semaphore working = new Semaphore(1, true);
		serve(id, service, 1, (request, socket, out) -> {
			Map<String, Object> call = Json.object(Json.read(request.text()));
			if (request.target().equals("/api/stage-free")) {
				Json.list(call.get("handles")).forEach(this.results::remove);
				Http.answer(out, 200, "", "{}");
				return;
			}
			if (!places.tryAcquire()) {
				Http.answer(out, 503, "Not-Executed: 1\r\n", "");
				return;
			}
			try {
				long arrived = System.nanoTime();
				working.acquire();
				long waited = (System.nanoTime() - arrived) / 1_000_000;
				List<Object> items = Json.list(call.get("items"));
				Thread.sleep(pool.callMillis() + (long) (items.size() * pool.itemMillis()));
				String answer = results(id, socket, items, waited);
				working.release();
				Http.daemon(() -> expire(answer, pool.handleMillis()));
				Http.answer(out, 200, "Content-Type: application/json\r\n", answer);
			}
			finally {
				places.release();
			}
		});
	}

	private String results(String id, Socket socket, List<Object> items, long waited) {
		List<String> answers = new ArrayList<>();
		StringBuilder log = new StringBuilder();
		for (Object entry : items) {
			Map<String, Object> item = Json.object(entry);
			String requestId = (String) item.get("id");
			List<String> inputs = Json.list(item.get("inputs")).stream().map(String::valueOf).toList();
			if (item.containsKey("remaining_ms") && Json.number(item.get("remaining_ms")) < waited) {
				answers.add("{\"reason\":\"late\"}");
				continue;
			}
			if (!inputs.stream().allMatch(this.results::containsKey)) {
				answers.add("{\"reason\":\"gone\"}");
				continue;
			}
			long stage = Json.number(item.get("stage"));
			long piece = Json.number(item.get("piece"));
			check("piece " + requestId + "/" + stage + "/" + piece, requestId, inputs);
			String handle = this.ip + ":" + socket.getLocalPort() + "/"
					+ Long.toHexString(this.nextHandle.incrementAndGet());
			Result result = new Result(requestId, stage, piece, System.nanoTime());
			this.made.put(handle, result);
			this.results.put(handle, result);
			answers.add("{\"handle\":" + Json.quote(handle) + "}");
			log.append(' ').append(requestId).append('/').append(stage).append('/').append(piece);
		}
		this.record.write("pieces at %s:%s", id, log);
		return "{\"items\":[" + String.join(",", answers) + "]}";
	}

	private void expire(String answer, long millis) throws InterruptedException {
		Thread.sleep(millis);
		for (Object item : Json.list(Json.object(Json.read(answer)).get("items"))) {
			Object handle = Json.object(item).get("handle");
			if (handle != null) {
				this.results.remove((String) handle);
			}
		}
	}

}
