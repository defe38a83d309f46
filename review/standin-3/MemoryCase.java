import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * Consumers and servers read slowly. The platform kills a process whose resident memory exceeds memory_mb and starts it
 * again, as DEPLOY.md says; the day counts 0 if processes on two machines end so three times.
 */
final class MemoryCase {

	private static final int MEMORY_MEGABYTES = 282;

	private static final int DESCRIPTORS = 2_069;

	/** Below max_body_bytes, 4,194,304. */
	private static final int BODY_BYTES = 4_000_000;

	private static final int UPLOADS = 30;

	private static final int DOWNLOADS = 30;

	private static final int SERVERS = 8;

	private static final int CHANNELS = 200;

	private static final int SMALL_BUFFER = 4_096;

	private static final long RUN_MILLIS = 85_000;

	private static final int ENDS = 3;

	private static final String CONFIGURATION = """
			{"version":1,"routes":[{"name":"put","host":"h","prefix":"/put/","kind":"idempotent","timeout_ms":12000,
			"target_latency_ms":3000,"service":"stock","max_attempts":2},
			{"name":"get","host":"h","prefix":"/get/","kind":"idempotent","timeout_ms":12000,
			"target_latency_ms":3000,"service":"view","max_attempts":2}],
			"services":[{"name":"stock","health_path":"/healthz","max_connections":200},
			{"name":"view","health_path":"/healthz","max_connections":200}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000}}
			""";

	private final byte[] body = new byte[BODY_BYTES];

	private final AtomicInteger nextId = new AtomicInteger(0x10000000);

	private final AtomicInteger answered = new AtomicInteger();

	private final Deployment deployment;

	private final boolean slow;

	private volatile boolean ended;

	private MemoryCase(Deployment deployment, boolean slow) throws IOException {
		this.deployment = deployment;
		this.slow = slow;
		Arrays.fill(this.body, (byte) 'x');
		deployment.configuration(CONFIGURATION);
		for (int index = 0; index < SERVERS; index++) {
			String stockId = "i-stock" + index;
			deployment.server(stockId, "stock", Peer.serve(CHANNELS, this.slow ? SMALL_BUFFER : 262_144,
					(request, socket) -> stock(stockId, request, socket)), "z1", 50);
			String viewId = "i-view" + index;
			deployment.server(viewId, "view",
					Peer.serve(CHANNELS, 262_144, (request, socket) -> view(viewId, request, socket)), "z1", 50);
		}
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit;
		try (Deployment deployment = new Deployment(arguments[0])) {
			exit = new MemoryCase(deployment, trouble).run() ? Deployment.HELD : Deployment.BROKEN;
		}
		catch (Exception ex) {
			ex.printStackTrace();
			exit = Deployment.NOT_RUN;
		}
		Runtime.getRuntime().halt(exit);
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	// Returns whether the request is meant for this server and may run.
	private static boolean isOwn(String id, RawServer.Request request, Socket socket) throws IOException {
		if (request.header("Target-Instance").equals(id)) {
			return true;
		}
		RawServer.write(socket, "HTTP/1.1 421 X\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
		socket.close();
		return false;
	}

	// A server that reads a request, slowly if it is to, and answers behind its last byte, or at the deadline.
	private void stock(String id, RawServer.Request request, Socket socket) throws IOException {
		if (!isOwn(id, request, socket)) {
			return;
		}
		long deadline = Peer.deadline(request);
		InputStream input = socket.getInputStream();
		byte[] buffer = new byte[65_536];
		long left = Peer.bodyLength(request);
		while (left > 0 && System.nanoTime() < deadline) {
			int count = input.read(buffer, 0, (int) Math.min(left, this.slow ? SMALL_BUFFER : buffer.length));
			if (count < 0) {
				return;
			}
			left -= count;
			if (this.slow) {
				Deployment.pause(50);
			}
		}
		RawServer.write(socket, "HTTP/1.1 " + ((left > 0) ? "504 X" : "200 OK") + "\r\nRequest-Id: "
				+ request.header("Request-Id")
				+ "\r\nResponse-Signature: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
		socket.close();
	}

	private void view(String id, RawServer.Request request, Socket socket) throws IOException {
		if (!isOwn(id, request, socket)) {
			return;
		}
		OutputStream output = socket.getOutputStream();
		output.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nResponse-Signature: s\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		output.write(this.body);
		output.flush();
	}

	private boolean run() throws Exception {
		Machine first = new Machine(this.deployment.gateway("front-1", "127.0.0.2", "z1", MEMORY_MEGABYTES, DESCRIPTORS));
		Machine second = new Machine(
				this.deployment.gateway("front-2", "127.0.0.3", "z1", MEMORY_MEGABYTES, DESCRIPTORS));
		Deployment.pause(4_500);
		for (Machine machine : new Machine[] { first, second }) {
			for (int index = 0; index < UPLOADS + DOWNLOADS; index++) {
				boolean upload = index < UPLOADS;
				daemon(() -> consume(machine, upload));
			}
			daemon(machine::watch);
		}
		long end = this.deployment.millis() + RUN_MILLIS;
		while (this.deployment.millis() < end && (first.ends < ENDS || second.ends < ENDS)) {
			Deployment.pause(2_000);
			this.deployment.log("largest resident memory so far: " + first.largest / 1_024 + " and "
					+ second.largest / 1_024 + " MB, whole answers " + this.answered.get());
		}
		this.ended = true;
		boolean broken = first.ends >= ENDS && second.ends >= ENDS;
		this.deployment.log("processes ended for memory over " + MEMORY_MEGABYTES + " MB: " + first.ends + " and "
				+ second.ends + " times: " + (broken ? "Fault is broken" : "the rule held"));
		return !broken;
	}

	private void consume(Machine machine, boolean upload) {
		while (!this.ended) {
			try (Socket socket = new Socket()) {
				if (this.slow) {
					socket.setReceiveBufferSize(SMALL_BUFFER);
				}
				socket.connect(new InetSocketAddress(machine.gateway.ip, machine.gateway.callerPort), 1_000);
				socket.setSoTimeout(13_000);
				request(socket, upload);
			}
			catch (IOException ex) {
				// Refused or cut off; it comes again.
			}
			Deployment.pause(500);
		}
	}

	private void request(Socket socket, boolean upload) throws IOException {
		String id = Integer.toHexString(this.nextId.incrementAndGet());
		OutputStream output = socket.getOutputStream();
		String start = upload ? "POST /put/x" : "GET /get/x";
		output.write((start + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 10000\r\n"
				+ (upload ? "Content-Length: " + BODY_BYTES + "\r\n" : "") + "\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		if (upload) {
			output.write(this.body);
		}
		output.flush();
		if (this.slow && !upload) {
			Deployment.pause(3_000);
		}
		CallerAnswer answer = CallerAnswer.read(socket.getInputStream());
		if (answer.status() == 200 && answer.complete()) {
			this.answered.incrementAndGet();
		}
	}

	/**
	 * What the platform does for a machine: it kills a process that exceeds its memory and starts it again.
	 */
	private final class Machine {

		private final Deployment.Gateway gateway;

		private volatile int ends;

		private volatile long largest;

		private Machine(Deployment.Gateway gateway) {
			this.gateway = gateway;
		}

		private void watch() {
			try {
				while (!MemoryCase.this.ended) {
					Deployment.pause(20);
					long resident = this.gateway.memory("VmRSS");
					this.largest = Math.max(this.largest, resident);
					if (resident > MEMORY_MEGABYTES * 1_024L) {
						MemoryCase.this.deployment.log(this.gateway.name + " holds " + resident + " KB, of which "
								+ this.gateway.memory("RssAnon") + " anonymous");
						this.ends++;
						this.gateway.signal("KILL");
						this.gateway.process().waitFor();
						Deployment.pause(500);
						this.gateway.start();
					}
				}
			}
			catch (Exception ex) {
				MemoryCase.this.deployment.log("the watch ended: " + ex);
			}
		}

	}

}
