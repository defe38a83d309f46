import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliahub.platform.emulator.RawServer;

/**
 * A model server: refuses what is meant for another one and what is beyond its slots and its queue, lets requests wait
 * for a slot, and streams events at an even pace, each with the id of its request, until the channel closes.
 */
final class Engine {

	private final String id;

	private final int slots;

	private final int events;

	private final long gapMillis;

	private final int queue;

	private final Semaphore free;

	private final AtomicInteger held = new AtomicInteger();

	final AtomicInteger completed = new AtomicInteger();

	Engine(Deployment deployment, String id, String service, int slots, int queue, int channels,
			int events, long gapMillis) throws IOException {
		this.id = id;
		this.slots = slots;
		this.queue = queue;
		this.free = new Semaphore(slots, true);
		this.events = events;
		this.gapMillis = gapMillis;
		deployment.server(id, service, Peer.serve(channels, 262_144, this::handle), "z1", slots);
	}

	private void handle(RawServer.Request request, Socket socket) throws IOException {
		long deadline = Peer.deadline(request);
		socket.getInputStream().readNBytes(Peer.bodyLength(request));
		String requestId = request.header("Request-Id");
		if (request.target().equals("/api/report")) {
			answer(socket, 200, "", "{\"stage\":\"hybrid\",\"models\":[],\"busy\":false,\"seq\":1,\"waiting\":0,\"running\":"
					+ (this.slots - this.free.availablePermits()) + ",\"kv_used\":0,\"kv_total\":90000,\"handles\":0}");
			return;
		}
		if (request.target().equals("/healthz")) {
			answer(socket, 200, "Instance-Id: " + this.id + "\r\n" + load(), "");
			return;
		}
		if (requestId.isEmpty()) {
			answer(socket, 400, "Not-Executed: 1\r\n", "");
			return;
		}
		if (!request.header("Target-Instance").equals(this.id)) {
			answer(socket, 421, "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n" + load(), "");
			return;
		}
		if (this.held.incrementAndGet() > this.slots + this.queue) {
			this.held.decrementAndGet();
			answer(socket, 503, "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n" + load(), "");
			return;
		}
		try {
			run(socket, request, requestId, deadline);
		}
		finally {
			this.held.decrementAndGet();
		}
	}

	private String load() {
		int running = this.slots - this.free.availablePermits();
		return "Server-Load: " + running + "," + Math.max(0, this.held.get() - running) + "," + this.slots + "\r\n";
	}

	private void run(Socket socket, RawServer.Request request, String requestId, long deadline) throws IOException {
		while (!this.free.tryAcquire()) {
			if (System.nanoTime() >= deadline) {
				answer(socket, 503, "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n" + load(), "");
				return;
			}
			if (!Peer.work(socket, 10)) {
				return;
			}
		}
		try {
			String last = request.header("Last-Event-Id");
			stream(socket, requestId, last.isEmpty() ? 1 : Integer.parseInt(last) + 1, deadline);
		}
		finally {
			this.free.release();
		}
	}

	private static void answer(Socket socket, int status, String headers, String body) throws IOException {
		RawServer.write(socket,
				"HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
	}

	private void stream(Socket socket, String requestId, int first, long deadline) throws IOException {
		RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: " + this.id
				+ "." + requestId + "\r\n" + load() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int number = first; number <= this.events; number++) {
			if (!Peer.work(socket, this.gapMillis)) {
				return;
			}
			if (System.nanoTime() >= deadline) {
				socket.close();
				return;
			}
			String event = "id: " + number + "\ndata: " + requestId + "\n\n";
			RawServer.write(socket, Peer.chunk(event));
		}
		RawServer.write(socket, "0\r\n\r\n");
		this.completed.incrementAndGet();
	}

}
