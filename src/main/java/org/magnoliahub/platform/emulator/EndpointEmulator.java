package org.magnoliahub.platform.emulator;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * An endpoint of a plain service or of a model service: it works on each request for a
 * time that the request's id decides, and can answer wrongly on demand.
 */
public final class EndpointEmulator implements Closeable {

	/** One in this number of requests is refused in {@link Mode#ADDS_ANSWERS}. */
	private static final int REFUSAL_SHARE = 3;

	/**
	 * One in this number of plain answers states no length and ends with its connection.
	 */
	private static final int UNTIL_CLOSE_SHARE = 5;

	private static final int SLOW_FACTOR = 6;

	private static final long PAUSE_MILLIS = 1_800;

	private static final double REQUESTS_PER_SECOND = 1;

	private final String id;

	private final int limit;

	private final RunObserver observer;

	private final RawServer server;

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger runs = new AtomicInteger();

	private final Map<Socket, String> extra = new ConcurrentHashMap<>();

	/** Connections with a stream that ends with them. */
	private final Set<Socket> untilClose = ConcurrentHashMap.newKeySet();

	private volatile Mode mode = Mode.SOUND;

	private volatile boolean leaving;

	private volatile @Nullable LoadReports loadReports;

	private volatile CrashTrigger crashTrigger = CrashTrigger.NONE;

	private EndpointEmulator(String id, int limit, RunObserver observer) throws IOException {
		this.id = id;
		this.limit = limit;
		this.observer = observer;
		this.server = RawServer.start(this::handle);
	}

	/**
	 * Starts an endpoint.
	 * @param id its id
	 * @param limit how many requests it works on at once
	 * @param observer learns of requests
	 * @return the running endpoint
	 * @throws IOException if it cannot listen
	 */
	public static EndpointEmulator start(String id, int limit, RunObserver observer) throws IOException {
		return new EndpointEmulator(id, limit, observer);
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
	 * Lets it end, with all its connections, when it begins to write an answer to a
	 * request with a certain part of the prompt.
	 * @param trigger the part, and what learns of the end
	 */
	public void setCrashTrigger(CrashTrigger trigger) {
		this.crashTrigger = trigger;
	}

	/**
	 * Reports in all answers from now on its load with four figures, and at times with
	 * text that is no report.
	 */
	public void reportLoad() {
		this.loadReports = new LoadReports();
	}

	/**
	 * Says in all answers from now on that it leaves.
	 */
	public void leave() {
		this.leaving = true;
	}

	private void handle(RawServer.Request request, Socket socket) throws IOException {
		if (EngineStateCall.answer(request, socket, this.id)) {
			return;
		}
		EndpointRequest arrived = new EndpointRequest(this.id, request.header("Request-Id"), request.method(),
				request.target(), request.body(), request.header("Tenant"), request.header("Last-Event-Id"),
				request.header("Prompt-Prefix"), inputs(request.header("Inputs")));
		boolean crashes = this.crashTrigger.isPartOf(arrived.prompt());
		this.observer.arrived(arrived);
		String late = this.extra.remove(socket);
		if (late != null) {
			RawServer.write(socket, late);
		}
		if (!request.header("Target-Instance").equals(this.id)) {
			this.observer.misdirected(arrived);
			refuse(arrived, socket, 421);
			return;
		}
		if (this.mode == Mode.FULL || this.mode == Mode.PAUSES || isRefusedBeforeAddition(arrived)) {
			refuse(arrived, socket, 503);
			return;
		}
		try {
			if (this.running.incrementAndGet() > this.limit) {
				refuse(arrived, socket, 503);
			}
			else {
				run(arrived, socket, crashes);
			}
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private boolean isRefusedBeforeAddition(EndpointRequest request) {
		return this.mode == Mode.ADDS_ANSWERS && Math.floorMod(request.requestId().hashCode(), REFUSAL_SHARE) == 0;
	}

	private static List<String> inputs(String header) {
		return header.isEmpty() ? List.of() : List.of(header.split(","));
	}

	private void refuse(EndpointRequest request, Socket socket, int status) throws IOException {
		boolean pauses = this.mode == Mode.PAUSES && status == 503;
		if (pauses) {
			this.observer.told(request, PAUSE_MILLIS);
		}
		String text = "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.requestId() + "\r\nNot-Executed: 1\r\n"
				+ (pauses ? "Retry-After: " + PAUSE_MILLIS / 1_000.0 + "\r\n" : "") + notice(request)
				+ "Content-Length: 0\r\n\r\n";
		if (this.mode == Mode.ADDS_ANSWERS) {
			this.extra.put(socket, text);
		}
		RawServer.write(socket, text);
	}

	private String notice(EndpointRequest request) {
		LoadReports reports = this.loadReports;
		String lines = (reports != null) ? reports.nextHeader(this.running.get(), this.limit, slowdown()) : "";
		if (this.mode == Mode.LIMITED) {
			this.observer.limited(request, REQUESTS_PER_SECOND);
			lines += "Server-Limit: " + REQUESTS_PER_SECOND + "\r\n";
		}
		if (!this.leaving) {
			return lines;
		}
		this.observer.told(request, 0);
		return lines + "Server-Leaving: 1\r\n";
	}

	private void run(EndpointRequest request, Socket socket, boolean crashes) throws IOException {
		int number = this.runs.incrementAndGet();
		String signature = "s-" + this.id + "-" + number;
		String body = request.requestId() + " at " + this.id + " run " + number + " "
				+ "x".repeat(Math.floorMod(request.requestId().hashCode(), 2_000));
		EndpointRun run = new EndpointRun(request, signature, body);
		this.observer.started(run);
		try {
			if (crashes) {
				crash(run, socket);
			}
			else if (this.mode == Mode.ENDLESS) {
				EndlessAnswer.of(request.requestId()).writeTo(socket, request.requestId(), run.signature());
			}
			else if (isStream(request)) {
				stream(run, socket);
			}
			else {
				answer(run, socket);
			}
		}
		finally {
			this.observer.ended(run);
		}
	}

	private void crash(EndpointRun run, Socket socket) throws IOException {
		if (!EmulatedWork.perform(socket, millis(run.request()) / 2)) {
			return;
		}
		RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + run.request().requestId()
				+ "\r\nResponse-Signature: " + run.signature() + "\r\n");
		close();
		this.crashTrigger.onCrash().run();
	}

	private static boolean isStream(EndpointRequest request) {
		return request.target().startsWith("/draft/") || request.target().startsWith("/once/")
				|| request.target().startsWith("/staged/");
	}

	private long millis(EndpointRequest request) {
		boolean isLong = request.target().startsWith("/long/");
		long sound = isLong ? EmulatedWork.longMillis(request.requestId())
				: EmulatedWork.soundMillis(request.requestId());
		return slowdown() * sound;
	}

	private int slowdown() {
		return (this.mode == Mode.SLOW) ? SLOW_FACTOR : 1;
	}

	private void answer(EndpointRun run, Socket socket) throws IOException {
		if (!EmulatedWork.perform(socket, millis(run.request()))) {
			return;
		}
		boolean untilClose = this.mode != Mode.ADDS_ANSWERS && endsWithConnection(run.request().requestId());
		String end = untilClose ? "Connection: close" : "Content-Length: " + run.body().length();
		String text = "HTTP/1.1 200 OK\r\n" + notice(run.request()) + "Request-Id: " + run.request().requestId()
				+ "\r\nResponse-Signature: " + run.signature() + "\r\n" + end + "\r\n\r\n" + run.body();
		switch (this.mode) {
			case TRUNCATES -> {
				RawServer.write(socket, text.substring(0, text.length() - 10));
				closeWithin(socket, untilClose);
			}
			case GARBLES -> {
				RawServer.write(socket, "these bytes are no answer\r\n\r\n");
				socket.close();
			}
			case ADDS_ANSWERS -> {
				this.extra.put(socket, text);
				RawServer.write(socket, text);
			}
			default -> {
				RawServer.write(socket, text);
				if (untilClose) {
					socket.close();
				}
			}
		}
	}

	private static boolean endsWithConnection(String requestId) {
		return Math.floorMod(requestId.hashCode() * 13, UNTIL_CLOSE_SHARE) == 0;
	}

	// A proper close would complete an answer that ends with its connection.
	private static void closeWithin(Socket socket, boolean untilClose) throws IOException {
		if (untilClose) {
			RawServer.reset(socket);
		}
		else {
			socket.close();
		}
	}

	private void stream(EndpointRun run, Socket socket) throws IOException {
		String requestId = run.request().requestId();
		String from = run.request().lastEventId();
		int next = from.isEmpty() ? 1 : Integer.parseInt(from) + 1;
		if (!EmulatedWork.perform(socket, millis(run.request()) / 2)) {
			return;
		}
		if (this.mode == Mode.REJECTS_RESUMED && !from.isEmpty()) {
			RawServer.write(socket, UnresumedAnswer.of(requestId).text(requestId, run.signature()));
			return;
		}
		StreamFraming framing = StreamFraming.of(requestId);
		if (framing == StreamFraming.CONNECTION) {
			this.untilClose.add(socket);
		}
		try {
			writeStream(run, socket, framing, next);
		}
		finally {
			this.untilClose.remove(socket);
		}
	}

	private void writeStream(EndpointRun run, Socket socket, StreamFraming framing, int next) throws IOException {
		String requestId = run.request().requestId();
		RawServer.write(socket,
				"HTTP/1.1 200 OK\r\n" + notice(run.request()) + "Request-Id: " + requestId + "\r\nResponse-Signature: "
						+ run.signature() + "\r\nContent-Type: text/event-stream\r\n" + framing.header() + "\r\n");
		for (int number = next; number <= EmulatedWork.eventCount(requestId); number++) {
			String event = EmulatedWork.event(requestId, number);
			if (breaksOffStreams() && number > EmulatedWork.eventCount(requestId) / 2) {
				RawServer.write(socket, framing.cut(event));
				socket.close();
				return;
			}
			RawServer.write(socket, framing.whole(event));
			if (!EmulatedWork.perform(socket, EmulatedWork.EVENT_MILLIS)) {
				return;
			}
		}
		framing.end(socket);
	}

	private boolean breaksOffStreams() {
		return this.mode == Mode.TRUNCATES || this.mode == Mode.REJECTS_RESUMED;
	}

	// A proper close between two events would complete a stream that ends with its
	// connection.
	@Override
	public void close() throws IOException {
		for (Socket socket : this.untilClose) {
			try {
				RawServer.reset(socket);
			}
			catch (SocketException ex) {
				// Its stream has ended in this moment.
			}
		}
		this.server.close();
	}

	/**
	 * Ways to answer.
	 */
	public enum Mode {

		/** Answers as it should. */
		SOUND,

		/** Refuses all requests. */
		FULL,

		/** Refuses all requests and asks for a pause. */
		PAUSES,

		/** States in all answers the request rate that it accepts from all gateways. */
		LIMITED,

		/** Takes several times as long. */
		SLOW,

		/** Ends answers early. */
		TRUNCATES,

		/**
		 * Ends streams early, and answers resumed ones with signed answers that do not
		 * continue them. Other answers are sound.
		 */
		REJECTS_RESUMED,

		/** Sends bytes that are no answer. */
		GARBLES,

		/**
		 * Sends bytes without end instead of an answer, until the connection is closed.
		 */
		ENDLESS,

		/**
		 * Refuses some requests, and sends each refusal and each other answer once more,
		 * where the next one is expected.
		 */
		ADDS_ANSWERS

	}

}
