package org.magnoliahub.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import io.javalin.Javalin;
import io.javalin.http.Context;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * What the engine and the service stand-in share: the HTTP server, slots, faults and the
 * run log.
 */
final class StandInServer {

	private static final int MAXIMUM_RUNS = 100_000;

	private static final long MAXIMUM_REQUEST_BYTES = 4 * 1024 * 1024;

	private static final int CONTROL_THREADS = 16;

	private final ObjectMapper mapper = new ObjectMapper()
		.setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

	private final ConcurrentSkipListMap<Long, Run> runs = new ConcurrentSkipListMap<>();

	private final AtomicLong sequence = new AtomicLong();

	private final long startedNanos = System.nanoTime();

	private final List<String> controls = new ArrayList<>();

	private final RunSlots slots;

	private final Random random;

	private final Javalin javalin;

	private volatile Faults faults = Faults.NONE;

	StandInServer(int slots, int maximumWaiting, long seed) {
		this.slots = new RunSlots(slots, maximumWaiting);
		this.random = new Random(seed);
		this.javalin = Javalin.create((config) -> {
			config.showJavalinBanner = false;
			config.startupWatcherEnabled = false;
			config.http.disableCompression();
			config.http.maxRequestSize = MAXIMUM_REQUEST_BYTES;
			config.jetty.threadPool = new QueuedThreadPool(slots + maximumWaiting + CONTROL_THREADS);
		});
		this.javalin.get("/runs", (context) -> json(context, runs()));
		this.javalin.get("/load",
				(context) -> json(context, Map.of("running", this.slots.running(), "waiting", this.slots.waiting())));
		this.javalin.get("/controls", (context) -> {
			synchronized (this.controls) {
				json(context, this.controls);
			}
		});
		this.javalin.post("/faults", this::changeFaults);
	}

	void start(String address, int port) {
		this.javalin.start(address, port);
	}

	int port() {
		return this.javalin.port();
	}

	void stop() {
		this.javalin.stop();
	}

	List<Run> runs() {
		return List.copyOf(this.runs.values());
	}

	void setFaults(Faults newFaults) {
		this.faults = newFaults;
	}

	private void changeFaults(Context context) {
		try {
			this.faults = this.mapper.readValue(context.body(), Faults.class);
		}
		catch (JsonProcessingException ex) {
			context.status(400).result(Objects.requireNonNullElse(ex.getOriginalMessage(), "invalid faults"));
		}
	}

	private void json(Context context, Object value) throws JsonProcessingException {
		context.contentType("application/json").result(this.mapper.writeValueAsString(value));
	}

	/**
	 * Serves POST calls on a path.
	 * @param path the path
	 * @param work writes the response of one run
	 */
	void serve(String path, Work work) {
		this.javalin.post(path, (context) -> run(context, work));
	}

	/**
	 * Serves control commands on a path. Fencing numbers are logged and ignored, as some
	 * engines do.
	 * @param path the path
	 */
	void serveControl(String path) {
		this.javalin.post(path, (context) -> {
			String number = Objects.requireNonNullElse(context.header("Fencing-Number"), "");
			synchronized (this.controls) {
				this.controls.add(number + " " + context.path() + " " + context.body());
			}
			context.result("{}");
		});
	}

	private void run(Context context, Work work) throws InterruptedException {
		JsonNode body;
		try {
			body = this.mapper.readTree(context.body());
		}
		catch (JsonProcessingException ex) {
			context.status(400).result("body is not JSON");
			return;
		}
		if (this.faults.refuse()) {
			context.status(503);
			return;
		}
		if (!this.slots.acquire(body.path("priority").asInt(0))) {
			context.status(429);
			return;
		}
		try {
			runInSlot(context, body, work);
		}
		finally {
			this.slots.release();
		}
	}

	private void runInSlot(Context context, JsonNode body, Work work) throws InterruptedException {
		Run run = new Run(this.sequence.incrementAndGet(), context.path(), header(context, "Request-Id"),
				header(context, "Stage"), header(context, "Attempt"), header(context, "Idempotency-Key"), now(), null,
				false, 0);
		this.runs.put(run.sequence(), run);
		if (this.runs.size() > MAXIMUM_RUNS) {
			this.runs.pollFirstEntry();
		}
		boolean cancelled = true;
		Faults present = this.faults;
		try {
			TimeUnit.MILLISECONDS.sleep(present.delayMs());
			if (fails(present)) {
				context.status(500);
			}
			else {
				work.write(context, body, run, present);
			}
			cancelled = false;
		}
		catch (IOException ex) {
			// The caller closed the connection, which the run log shows.
		}
		finally {
			this.runs.put(run.sequence(), run.ended(now(), cancelled, context.statusCode()));
		}
	}

	private boolean fails(Faults present) {
		synchronized (this.random) {
			return this.random.nextDouble() < present.errorRate();
		}
	}

	private static String header(Context context, String name) {
		return Objects.requireNonNullElse(context.header(name), "");
	}

	private long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

	/**
	 * Writes a response that is no stream.
	 * @param context the call
	 * @param present the faults
	 * @param value value to write as JSON
	 * @throws IOException if the caller is gone
	 */
	void writeDocument(Context context, Faults present, Object value) throws IOException {
		byte[] content = this.mapper.writeValueAsBytes(value);
		context.contentType("application/json");
		context.res().setContentLength(content.length);
		int length = (present.cutAfterTokens() != null) ? content.length - 1 : content.length;
		OutputStream output = context.res().getOutputStream();
		output.write(content, 0, length);
		output.flush();
	}

	/**
	 * Writes one event of a stream.
	 * @param context the call
	 * @param data the data of the event
	 * @throws IOException if the caller is gone
	 */
	void writeEvent(Context context, Object data) throws IOException {
		String text = (data instanceof String marker) ? marker : this.mapper.writeValueAsString(data);
		OutputStream output = context.res().getOutputStream();
		output.write(("data: " + text + "\n\n").getBytes(StandardCharsets.UTF_8));
		output.flush();
	}

	/**
	 * The work of one run.
	 */
	@FunctionalInterface
	interface Work {

		/**
		 * Takes the time of the run and writes its response.
		 * @param context the call
		 * @param body body of the request
		 * @param run the run
		 * @param faults faults at its start
		 * @throws IOException if the caller is gone
		 * @throws InterruptedException if the stand-in is stopped
		 */
		void write(Context context, JsonNode body, Run run, Faults faults) throws IOException, InterruptedException;

	}

}
