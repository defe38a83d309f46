import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What a model server does as PROTOCOL.md describes it: it runs requests in its slots while
 * their tokens fit into its memory, queues a few more, refuses when the queue is full, and
 * preempts the newest request when memory runs out. That one goes on, before those that wait,
 * as soon as it fits again. A request whose channel closes is dropped.
 */
final class Engine {

	private static final int EVENT_TOKENS = 6;

	private static final long EVENT_MILLIS = 40;

	private static final double PROMPT_TOKENS_PER_MILLI = 68.2;

	private final String id;

	private final int slots;

	private final int queue;

	private final int tokens;

	private final RunRecord record;

	private final List<Run> running = new ArrayList<>();

	private final Deque<Run> waiting = new ArrayDeque<>();

	private final List<String> droppedWhilePreempted = new ArrayList<>();

	Engine(String id, int slots, int queue, int tokens, RunRecord record) {
		this.id = id;
		this.slots = slots;
		this.queue = queue;
		this.tokens = tokens;
		this.record = record;
		Http.daemon(() -> {
			while (true) {
				Thread.sleep(EVENT_MILLIS);
				step();
			}
		});
	}

	private static final class Run {

		private final String request;

		private final OutputStream out;

		private final int prompt;

		private final int events;

		private int made;

		private long readAt;

		private boolean headSent;

		private boolean preempted;

		private boolean ended;

		private Run(String request, OutputStream out, int prompt, int events, int made) {
			this.request = request;
			this.out = out;
			this.prompt = prompt;
			this.events = events;
			this.made = made;
		}

		private int tokens() {
			return this.prompt + EVENT_TOKENS * this.made;
		}

	}

	synchronized int runningCount() {
		return this.running.size();
	}

	synchronized int waitingCount() {
		return this.waiting.size();
	}

	synchronized boolean droppedWhilePreempted(String request) {
		return this.droppedWhilePreempted.contains(request);
	}

	private String load() {
		return "Server-Load: " + this.running.size() + "," + this.waiting.size() + "," + this.slots + "\r\n";
	}

	/** Runs a request to its end, or until its channel closes. */
	void run(Http.Message request, Socket socket, OutputStream out) throws Exception {
		String requestId = request.header("Request-Id");
		String[] counts = request.header("Token-Count").split(",");
		String last = request.header("Last-Event-Id");
		int events = Integer.parseInt(counts[1].trim()) / EVENT_TOKENS;
		Run run = new Run(requestId, out, Integer.parseInt(counts[0].trim()), events,
				last.isEmpty() ? 0 : Integer.parseInt(last));
		synchronized (this) {
			if (this.waiting.size() >= this.queue) {
				this.record.write("%s is full (%d running, %d waiting) and refuses %s", this.id, this.running.size(),
						this.waiting.size(), requestId);
				Http.answer(out, 503, "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n" + load(), "");
				return;
			}
			this.waiting.addLast(run);
			start();
		}
		awaitEnd(run, socket);
	}

	private void awaitEnd(Run run, Socket socket) throws IOException {
		socket.setSoTimeout(20);
		while (true) {
			synchronized (this) {
				if (run.ended) {
					break;
				}
			}
			try {
				if (socket.getInputStream().read() < 0) {
					drop(run);
					throw new IOException("closed");
				}
			}
			catch (SocketTimeoutException ex) {
				// Nothing comes while the request is at work.
			}
		}
		socket.setSoTimeout(0);
	}

	private synchronized void drop(Run run) {
		if (run.ended) {
			return;
		}
		run.ended = true;
		if (run.preempted) {
			this.droppedWhilePreempted.add(run.request);
		}
		this.record.write("%s drops %s behind event %d, whose channel was closed%s", this.id, run.request, run.made,
				run.preempted ? " while it was preempted" : "");
		this.running.remove(run);
		this.waiting.remove(run);
		start();
	}

	private int used() {
		return this.running.stream().mapToInt(Run::tokens).sum();
	}

	private void start() {
		while (!this.waiting.isEmpty() && this.running.size() < this.slots
				&& used() + this.waiting.peekFirst().tokens() + EVENT_TOKENS * (this.running.size() + 1) <= this.tokens) {
			Run run = this.waiting.pollFirst();
			run.readAt = System.nanoTime() + (long) (run.tokens() / PROMPT_TOKENS_PER_MILLI * 1e6);
			this.record.write("%s %s %s from event %d (%d running)", this.id, run.preempted ? "goes on with" : "runs",
					run.request, run.made + 1, this.running.size() + 1);
			run.preempted = false;
			this.running.add(run);
		}
	}

	private synchronized void step() {
		while (used() + EVENT_TOKENS * this.running.size() > this.tokens && this.running.size() > 1) {
			Run newest = this.running.remove(this.running.size() - 1);
			newest.preempted = true;
			this.waiting.addFirst(newest);
			this.record.write("%s is out of memory and preempts %s behind event %d", this.id, newest.request, newest.made);
		}
		start();
		for (Run run : List.copyOf(this.running)) {
			if (System.nanoTime() >= run.readAt) {
				event(run);
			}
		}
	}

	private void event(Run run) {
		try {
			if (!run.headSent) {
				run.headSent = true;
				run.out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + run.request + "\r\nResponse-Signature: 3e1b."
						+ run.request + "\r\n" + load()
						+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			}
			run.made++;
			Servers.chunk(run.out, "id: " + run.made + "\ndata: " + run.request + " " + run.made + "\n\n");
			if (run.made >= run.events) {
				Servers.chunk(run.out, "");
				run.ended = true;
				this.running.remove(run);
				this.record.write("%s has ended %s", this.id, run.request);
				start();
			}
		}
		catch (IOException ex) {
			drop(run);
		}
	}

}
