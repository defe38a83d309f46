import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry gateway as a process of its own, started with the command of the deploy file. */
final class Gateway {

	private static final List<Process> STARTED = new ArrayList<>();

	private final String name;

	private final String ip;

	private final String callers;

	private final String readiness;

	private final Path settings;

	private final Path log;

	private final List<String> command;

	private Process process;

	/** Creates a temporary folder that is removed at the end of this process. */
	static Path temporaryFolder() throws IOException {
		Path folder = Files.createTempDirectory("review");
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			killAll();
			File[] files = folder.toFile().listFiles();
			for (File file : (files != null) ? files : new File[0]) {
				file.delete();
			}
			folder.toFile().delete();
		}));
		return folder;
	}

	Gateway(Path folder, String name, String ip, String store, String zone) throws IOException {
		this.name = name;
		this.ip = ip;
		int front = freePort(ip);
		int ready = freePort(ip);
		int internal = freePort(ip);
		this.callers = ip + ":" + front;
		this.readiness = ip + ":" + ready;
		this.settings = folder.resolve(name + ".json");
		this.log = folder.resolve(name + ".log");
		this.command = command();
		Files.writeString(this.settings, ("{'node_name':'%s','role':'entry','machine_class':'front',"
				+ "'serves':['front'],'ip':'%s','zone':'%s','region':'r','zones':{'%s':'r'},"
				+ "'listen':{'front':'%s','ready_address':'%s'},'internal_ports':[%d,%d],'seeds':[],'bootstrap':true,"
				+ "'limits':{'cpu_share':0.57,'cores':1,'memory_mb':430,'max_fds':4100,'link_mbps':1000.0,'disk_mb':0},"
				+ "'data_dir':null,'discovery':'platform','entry':'vip','heartbeat_ms':1200,"
				+ "'contracts':['base','drain','config','cost','retry','recover','engine','stream','tenants',"
				+ "'platform','stages'],'fault_tolerance':{'machines':2,'zones':0,'regions':0},"
				+ "'bounds':{'seed_lag_s':3,'reuse_after_s':2,'contact_ms':3000,'ack_ms':4000,'catch_up_s':4,"
				+ "'drain_ms':2000,'grace_s':8,'loss_slack_ms':200,'config_apply_ms':2000,'rollback_slack_ms':250,"
				+ "'max_stretch_ms':5000,'strict_revocation':false,'revoke_ms':5000,'retry_budget_ratio':0.2,"
				+ "'budget_window_s':10,'retry_budget_extra':58,'recover_s':12,'pass_ms':120,'reuse_window_s':10},"
				+ "'platform_settings':{'address':'%s','form':'table','writes_per_s':400,'reads_per_s':2000,"
				+ "'tx_ms':5.0,'part_writes_s':200,'row_bytes':65536,'across':false,'history_s':20,"
				+ "'blob_bytes':8388608,'blob_ms':25.0,'blob_mb_s':80.0}}")
			.replace('\'', '"')
			.formatted(name, ip, zone, zone, this.callers, this.readiness, internal, internal + 15, store));
	}

	/** Returns the command of the role in the deploy file, split at spaces. */
	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("the deploy file has no command");
	}

	// Below the ports that the system gives to outgoing connections.
	private static int freePort(String ip) throws IOException {
		for (int attempt = 0; attempt < 1_000; attempt++) {
			int port = 12_000 + (int) (Math.random() * 18_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
				return port;
			}
			catch (IOException ex) {
				continue;
			}
		}
		throw new IOException("no free port at " + ip);
	}

	String name() {
		return this.name;
	}

	Path log() {
		return this.log;
	}

	long pid() {
		return this.process.pid();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/** Starts the process; a restart keeps addresses and settings. */
	void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command);
		builder.environment().clear();
		for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
			if (System.getenv(variable) != null) {
				builder.environment().put(variable, System.getenv(variable));
			}
		}
		builder.environment().put("MAGNOLIAHUB_CONFIG", this.settings.toAbsolutePath().toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.redirectInput(new File("/dev/null"));
		this.process = builder.start();
		synchronized (STARTED) {
			STARTED.add(this.process);
		}
	}

	/** Waits until the readiness address answers 200. */
	boolean awaitReady(long millis) throws InterruptedException {
		long end = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() < end) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(20);
		}
		return false;
	}

	boolean isReady() {
		try (Socket socket = connect(this.readiness)) {
			socket.setSoTimeout(1_000);
			socket.getOutputStream().write("GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
			return Http.read(socket.getInputStream()).status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	Socket connect() throws IOException {
		return connect(this.callers);
	}

	static Socket connect(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
		socket.setTcpNoDelay(true);
		return socket;
	}

	/** SIGKILL. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor(10, TimeUnit.SECONDS);
	}

	/** SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	static void killAll() {
		synchronized (STARTED) {
			for (Process process : STARTED) {
				process.destroyForcibly();
				try {
					process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}
	}

}
