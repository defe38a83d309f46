import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is told to stop while streams run. A model server preempts some of them in the
 * middle and goes on with them a moment later; the other model server is full. Usage: RECORD TROUBLE
 */
public final class SilentServer {

	private static final int STREAMS = 8;

	private static final int EVENTS = 20;

	private static final long EVENT_MILLIS = 60;

	/** How long a preempted stream waits until its server has read it in again. */
	private static final long PREEMPTED_MILLIS = 1_500;

	/** The time from SIGTERM to the kill, grace_s. */
	private static final long GRACE_MILLIS = 8_000;

	private static final String CONFIGURATION = """
			{"version":7,"routes":[{"name":"r-report","host":"pule25.example","prefix":"/puxa400/","kind":"streaming",
			"timeout_ms":15000,"target_latency_ms":1400,"priority":0,"service":"huvo11a","max_attempts":2,
			"stages":[{"service":"kafi81c","after":[],"size_bytes":8000}],"allow_anonymous":false,"sticky":true,
			"resume_streams":true,"gap_target_ms":300}],
			"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":220,"protocol":"h1","tls":false,
			"engine":{"slots":48,"kv_capacity_tokens":576968,"kv_bytes":163840,"link_mbps":740000.0,"moves":true,
			"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
			"models":[{"name":"m"}]}},
			{"name":"kafi81c","health_path":"/healthz","max_connections":220,"protocol":"h1","tls":false,
			"pieces":{"slots":1,"queue":2,"batch":12,"call_ms":240.0,"item_ms":17.5,"headroom_mb":14.57,
			"handle_s":4.0,"link_mbps":10000}}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
			"idle_timeout_ms":15000},
			"tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}
			""";

	private final RunRecord record;

	private final boolean trouble;

	private final Set<String> handles = ConcurrentHashMap.newKeySet();

	private final AtomicInteger nextHandle = new AtomicInteger();

	private final AtomicInteger begun = new AtomicInteger();

	private final AtomicInteger complete = new AtomicInteger();

	/** Requests whose channel has ended without a complete answer. */
	private final Set<String> cut = ConcurrentHashMap.newKeySet();

	/** Requests that a server was still to go on with when its channel was closed. */
	private final Set<String> abandoned = ConcurrentHashMap.newKeySet();

	private volatile boolean memoryRanOut;

	private SilentServer(RunRecord record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] arguments) throws Exception {
		int result = 2;
		try {
			RunRecord record = new RunRecord(Path.of(arguments[0]));
			result = new SilentServer(record, !arguments[1].equals("0")).play();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		Gateway.killAll();
		System.exit(result);
	}

	private int play() throws Exception {
		Store store = new Store("127.36.0.1");
		store.put("op", "config", CONFIGURATION);
		start(store, "i-model-1", "huvo11a", 48, this::stream);
		start(store, "i-model-2", "huvo11a", 48, this::refuse);
		start(store, "i-stage-1", "kafi81c", 1, this::stage);
		start(store, "i-stage-2", "kafi81c", 1, this::stage);
		Gateway gateway = new Gateway(Gateway.temporaryFolder(), "front-z1-1", "127.36.1.1", store.address(), "z1");
		gateway.start();
		if (!gateway.awaitReady(20_000)) {
			this.record.write("cannot run: the gateway is not ready");
			return 2;
		}
		Thread.sleep(4_000);
		List<Thread> callers = new ArrayList<>();
		for (int index = 0; index < STREAMS; index++) {
			callers.add(Http.daemon(() -> call(gateway)));
		}
		long end = System.nanoTime() + 5_000_000_000L;
		while (this.begun.get() < STREAMS && System.nanoTime() < end) {
			Thread.sleep(5);
		}
		if (this.begun.get() < STREAMS) {
			this.record.write("cannot run: only %d streams have begun", this.begun.get());
			return 2;
		}
		if (this.trouble) {
			this.record.write("SIGTERM of %s", gateway.name());
			gateway.terminate();
			this.memoryRanOut = true;
		}
		long stopped = System.nanoTime();
		for (Thread caller : callers) {
			caller.join();
		}
		long millis = (System.nanoTime() - stopped) / 1_000_000;
		int lost = 0;
		for (String id : this.cut) {
			lost += this.abandoned.contains(id) ? 1 : 0;
		}
		this.record.write("%d streams complete; %d cut within %d ms of the signal (grace %d ms), %d of them while a server "
				+ "was still to go on with them", this.complete.get(), this.cut.size(), millis, GRACE_MILLIS, lost);
		return (lost > 0) ? 1 : 0;
	}

	private static void start(Store store, String id, String service, int slots, Servers.Work work) throws IOException {
		String address = Http.serve("127.36.0.2", (request, socket, out) -> {
			String target = request.header("Target-Instance");
			if (!target.isEmpty() && !target.equals(id)) {
				Http.answer(out, 421, "Instance-Id: " + id + "\r\n", "");
				return;
			}
			work.run(request, socket, out);
		});
		long born = System.currentTimeMillis();
		AtomicInteger sequence = new AtomicInteger();
		Http.daemon(() -> {
			while (true) {
				store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address
						+ "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\","
						+ "\"cold_left_ms\":0,\"seq\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}");
				Thread.sleep(1_200);
			}
		});
	}

	private void stage(Http.Message request, Socket socket, OutputStream out) throws Exception {
		Map<String, Object> call = Json.object(Json.read(request.text()));
		if (request.target().equals("/api/stage-free")) {
			Json.list(call.get("handles")).forEach((handle) -> this.handles.remove(handle));
			Http.answer(out, 200, "", "{}");
			return;
		}
		List<Object> items = Json.list(call.get("items"));
		Thread.sleep(240 + (long) (items.size() * 17.5));
		List<String> answers = new ArrayList<>();
		for (Object item : items) {
			String handle = "127.36.0.2:" + socket.getLocalPort() + "/" + this.nextHandle.incrementAndGet();
			this.handles.add(handle);
			answers.add("{\"handle\":\"" + handle + "\"}");
			this.record.write("piece of %s at a stage server", Json.object(item).get("id"));
		}
		Http.answer(out, 200, "Content-Type: application/json\r\n", "{\"items\":[" + String.join(",", answers) + "]}");
	}

	private void refuse(Http.Message request, Socket socket, OutputStream out) throws IOException {
		this.record.write("i-model-2 is full and refuses %s", request.header("Request-Id"));
		Http.answer(out, 503, "Request-Id: " + request.header("Request-Id")
				+ "\r\nNot-Executed: 1\r\nServer-Load: 48,144,48\r\n", "");
	}

	private void stream(Http.Message request, Socket socket, OutputStream out) throws Exception {
		String id = request.header("Request-Id");
		for (String input : request.header("Inputs").split(",")) {
			if (!this.handles.contains(input)) {
				Http.answer(out, 409, "Request-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
				return;
			}
		}
		String last = request.header("Last-Event-Id");
		int from = last.isEmpty() ? 0 : Integer.parseInt(last);
		this.record.write("run %s at i-model-1 from event %d", id, from + 1);
		out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 3e1b." + id
				+ "\r\nServer-Load: 8,0,48\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		boolean preempted = false;
		try {
			for (int event = from + 1; event <= EVENTS; event++) {
				Thread.sleep(EVENT_MILLIS);
				if (this.memoryRanOut && !preempted && event > 2) {
					preempted = true;
					this.record.write("i-model-1 preempts %s before event %d and goes on in %d ms", id, event,
							PREEMPTED_MILLIS);
					Thread.sleep(PREEMPTED_MILLIS);
				}
				chunk(out, "id: " + event + "\ndata: " + id + " " + event + "\n\n");
			}
			chunk(out, "");
			this.record.write("i-model-1 has ended %s", id);
		}
		catch (IOException ex) {
			this.abandoned.add(id);
			this.record.write("i-model-1 cannot go on with %s: its channel is closed", id);
			throw ex;
		}
	}

	private static void chunk(OutputStream out, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private void call(Gateway gateway) throws Exception {
		String id = Caller.newId();
		this.record.write("sent %s", id);
		int events = 0;
		try (Socket socket = gateway.connect()) {
			socket.setSoTimeout(6_000);
			socket.getOutputStream().write(("POST /puxa400/2f HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: " + id
					+ "\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410," + id
					+ ":250\r\nPieces: 1\r\nPiece-Key: k" + id + "\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer "
					+ "9dnn2ctnfzs989anu6ws\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Http.Message head = Http.head(in);
			if (head.status() != 200) {
				this.record.write("answer %s status=%d", id, head.status());
				return;
			}
			while (true) {
				int size = Integer.parseInt(Http.line(in).trim(), 16);
				String text = new String(in.readNBytes(size), StandardCharsets.UTF_8);
				Http.line(in);
				if (size == 0) {
					break;
				}
				if (events == 0) {
					this.begun.incrementAndGet();
				}
				events += text.split("\n\n").length;
			}
			if (events == EVENTS) {
				this.complete.incrementAndGet();
			}
			this.record.write("answer %s complete, %d events", id, events);
		}
		catch (IOException | NumberFormatException ex) {
			this.cut.add(id);
			this.record.write("answer %s cut behind event %d: %s", id, events, ex);
		}
	}

}
