import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * All processes of the system are killed and come back, and several times in the seconds after it many users come at
 * once. The rule RECOVER says that of the requests sent later than recover_s after the return, a quarter at least is
 * served. Here recover_s is counted from the end of the last burst.
 */
final class RecoveryCase {

	/** Consumers; each keeps its channel and sends one request after the other. */
	private static final int CONSUMERS = 930;

	private static final long RETRY_MILLIS = 500;

	private static final long BURST_MILLIS = 6_900;

	private static final long BETWEEN_MILLIS = 2_000;

	private static final int BURSTS = 7;

	private static final int EVENTS = 8;

	private static final long GAP_MILLIS = 125;

	private static final int ENGINES = 2;

	private static final int SLOTS = 192;

	private static final int QUEUE = 290;

	private static final int CHANNELS = 490;

	/** The longest gap before a consumer abandons a stream: four times the objective. */
	private static final int GAP_LIMIT_MILLIS = 4_876;

	private static final int DESCRIPTORS = 2_069;

	private static final int MEMORY_MEGABYTES = 282;

	/** Descriptors that the platform reserves for files. */
	private static final int FILE_DESCRIPTORS = 200;

	/** Files that this gateway has open, and the descriptors of its event loop; both count as files here. */
	private static final int OPEN_FILES = 8;

	private static final long DEADLINE_MILLIS = 12_000;

	private static final long STEADY_MILLIS = 8_000;

	private static final long DOWN_MILLIS = 1_400;

	private static final long RECOVER_MILLIS = 15_000;

	private static final long JUDGED_MILLIS = 8_000;

	/** Share of a core, in milliseconds of each tenth of a second. */
	private static final int RUN_MILLIS = 40;

	private static final String CONFIGURATION = """
			{"version":%d,"routes":[{"name":"claim","host":"h","prefix":"/claim/","kind":"streaming","timeout_ms":12000,
			"target_latency_ms":1219,"gap_target_ms":400,"service":"counsel","max_attempts":2,"resume_streams":true,
			"sticky":true}],
			"services":[{"name":"counsel","health_path":"/healthz","max_connections":490,"engine":{"slots":192}}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000},
			"tenants":[{"name":"t1","api_keys":["key1"]}]}
			""";

	private final Deployment deployment;

	private final Deployment.Gateway gateway;

	private final AtomicInteger nextId = new AtomicInteger(0x10000000);

	private final AtomicInteger open = new AtomicInteger();

	private final Map<String, Integer> before = new TreeMap<>();

	private final Map<String, Integer> between = new TreeMap<>();

	private final Map<String, Integer> after = new TreeMap<>();

	private volatile long faultAt = Long.MAX_VALUE;

	private volatile long burstFrom = Long.MAX_VALUE;

	private volatile long judgedFrom = Long.MAX_VALUE;

	private volatile boolean ended;

	private RecoveryCase(Deployment deployment) throws Exception {
		this.deployment = deployment;
		deployment.configuration(CONFIGURATION.formatted(1));
		for (int index = 0; index < ENGINES; index++) {
			new Engine(deployment, "i-engine" + index, "counsel", SLOTS, QUEUE, CHANNELS, EVENTS, GAP_MILLIS);
		}
		deployment.descriptorLimit = DESCRIPTORS - FILE_DESCRIPTORS + OPEN_FILES;
		deployment.runMillis = RUN_MILLIS;
		this.gateway = deployment.gateway("front-1", "127.0.0.2", "z1", MEMORY_MEGABYTES, DESCRIPTORS);
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit;
		try (Deployment deployment = new Deployment(arguments[0])) {
			exit = new RecoveryCase(deployment).run(trouble) ? Deployment.HELD : Deployment.BROKEN;
		}
		catch (Exception ex) {
			ex.printStackTrace();
			exit = Deployment.NOT_RUN;
		}
		Runtime.getRuntime().halt(exit);
	}

	private boolean run(boolean trouble) throws Exception {
		for (int number = 0; number < CONSUMERS; number++) {
			Thread consumer = new Thread(null, this::consume, "consumer", 262_144);
			consumer.setDaemon(true);
			consumer.start();
		}
		Deployment.pause(STEADY_MILLIS);
		this.faultAt = this.deployment.millis();
		if (trouble) {
			this.deployment.configuration(CONFIGURATION.formatted(2));
			this.gateway.signal("KILL");
			this.gateway.process().waitFor();
			Deployment.pause(DOWN_MILLIS);
			this.gateway.start();
			this.burstFrom = this.deployment.millis();
		}
		long back = this.deployment.millis();
		this.judgedFrom = back + RECOVER_MILLIS + BURSTS * (BURST_MILLIS + BETWEEN_MILLIS);
		long end = this.judgedFrom + JUDGED_MILLIS;
		while (this.deployment.millis() < end) {
			Deployment.pause(1_000);
			this.deployment.log("requests open " + this.open.get());
		}
		this.ended = true;
		Deployment.pause(4_000);
		return judge();
	}

	private boolean isBurst() {
		long since = this.deployment.millis() - this.burstFrom;
		return since >= 0 && since < BURSTS * (BURST_MILLIS + BETWEEN_MILLIS)
				&& since % (BURST_MILLIS + BETWEEN_MILLIS) < BURST_MILLIS;
	}

	// Between its requests a consumer waits 1.6 times as long as one takes on average, and in a burst not at all.
	private void think() {
		long end = this.deployment.millis() + (long) (Math.random() * 3.2 * EVENTS * GAP_MILLIS);
		while (this.deployment.millis() < end && !isBurst() && !this.ended) {
			Deployment.pause(20);
		}
	}

	private void consume() {
		while (!this.ended) {
			try (Socket socket = this.gateway.connect()) {
				boolean kept = true;
				while (kept && !this.ended) {
					think();
					kept = request(socket);
				}
			}
			catch (IOException ex) {
				count(this.deployment.millis(), "no channel");
				Deployment.pause(RETRY_MILLIS);
			}
		}
	}

	// Returns whether the channel may be used again.
	private boolean request(Socket socket) {
		long sentAt = this.deployment.millis();
		String id = Integer.toHexString(this.nextId.incrementAndGet());
		this.open.incrementAndGet();
		try {
			socket.setSoTimeout(GAP_LIMIT_MILLIS);
			RawServer.write(socket,
					"POST /claim/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Count: 6610,32\r\n"
							+ "Prompt-Prefix: a1:512," + id + ":6098\r\nDeadline-Ms: " + DEADLINE_MILLIS
							+ "\r\nAuthorization: Bearer key1\r\nContent-Length: 2\r\n\r\nab");
			CallerAnswer answer = CallerAnswer.read(socket.getInputStream());
			boolean complete = answer.complete() && answer.body().contains("id: " + EVENTS + "\n");
			count(sentAt, (answer.status() != 200) ? Integer.toString(answer.status()) : complete ? "served" : "cut");
			if (answer.status() != 200) {
				double seconds = Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.3"));
				Deployment.pause((long) Math.min(DEADLINE_MILLIS / 3, 1_000 * seconds));
			}
			return answer.complete() && answer.status() != 0 && !answer.closes();
		}
		catch (IOException ex) {
			count(sentAt, "no answer");
			Deployment.pause(RETRY_MILLIS);
			return false;
		}
		finally {
			this.open.decrementAndGet();
		}
	}

	private void count(long sentAt, String end) {
		Map<String, Integer> counts = (sentAt < this.faultAt) ? this.before
				: (sentAt < this.judgedFrom) ? this.between : this.after;
		synchronized (counts) {
			counts.merge(end, 1, Integer::sum);
		}
	}

	private boolean judge() {
		this.deployment.log("before the fault: " + this.before);
		this.deployment.log("until " + RECOVER_MILLIS + " ms after the last burst: " + this.between);
		this.deployment.log("later: " + this.after);
		boolean servedBefore = share(this.before) >= 0.25;
		boolean servedAfter = share(this.after) >= 0.25;
		this.deployment.log("served before " + share(this.before) + ", later " + share(this.after) + ": "
				+ ((servedBefore && !servedAfter) ? "RECOVER is broken" : "the rule held"));
		return !servedBefore || servedAfter;
	}

	private static double share(Map<String, Integer> counts) {
		synchronized (counts) {
			int all = counts.values().stream().mapToInt(Integer::intValue).sum();
			return (all == 0) ? 0 : (double) counts.getOrDefault("served", 0) / all;
		}
	}

}
