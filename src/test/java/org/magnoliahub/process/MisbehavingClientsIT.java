package org.magnoliahub.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StoreEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against clients that end the process, exhaust the memory or the descriptors of
 * its machine, or keep it from answering others.
 */
class MisbehavingClientsIT {

	private static final String IP = "127.0.79.1";

	private static final int METRICS_PORT = 9464;

	/** Below the deployed 160 MB, so that a small crowd fills it. */
	private static final int HEAP_MEGABYTES = 96;

	/** Memory of the smallest machine, 282 MB, less what the heap was lowered by. */
	private static final long MAXIMUM_KILOBYTES = (282 - 160 + HEAP_MEGABYTES) * 1024;

	/** Below the 2,069 of the smallest machine, so that a small crowd reaches it. */
	private static final int DESCRIPTORS = 600;

	/** Descriptors of the machine that are for files. */
	private static final int FILE_DESCRIPTORS = 200;

	private static final Duration ANSWER_WAIT = Duration.ofSeconds(30);

	private static final int ANSWER_BYTES = 100_000;

	private StoreEmulator store;

	private EmulatedSettings.Node node;

	private RawServer plain;

	private RawServer silent;

	private Path log;

	private @Nullable Process gateway;

	private long maximumDescriptors;

	@BeforeEach
	void start(@TempDir Path directory) throws IOException {
		this.store = new StoreEmulator();
		this.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(1, List.of())
					.replaceAll("\"limits\":\\{[^}]*}",
							"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
									+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"));
		this.plain = RawServer.start(MisbehavingClientsIT::answer);
		this.silent = RawServer.start((request, socket) -> {
		});
		this.store.put(StoreFormat.ENDPOINT_TABLE, "plain-1",
				EmulatedSettings.endpoint("plain", this.plain.address(), 500, "ready"));
		this.store.put(StoreFormat.ENDPOINT_TABLE, "long-1",
				EmulatedSettings.endpoint("long", this.silent.address(), 500, "ready"));
		this.node = EmulatedSettings.Node.withFreePorts("gateway-0", IP);
		this.log = directory.resolve("log");
		Path settings = directory.resolve("settings.json");
		Files.writeString(settings,
				EmulatedSettings.gateway(this.node, new EmulatedSettings.Budget(0.2, 10), this.store.address()));
		String command = "ulimit -n " + DESCRIPTORS + " && exec "
				+ String.join(" ", DeployedEntry.commandLine()).replace("-Xmx160m", "-Xmx" + HEAP_MEGABYTES + "m");
		ProcessBuilder builder = new ProcessBuilder("sh", "-c", command).redirectErrorStream(true)
			.redirectOutput(this.log.toFile());
		builder.environment().put(EmulatedSettings.PATH_VARIABLE, settings.toString());
		this.gateway = builder.start();
		Awaitility.await().atMost(ANSWER_WAIT).ignoreExceptions().until(() -> this.node.readiness() == 200);
	}

	@AfterEach
	void stop() throws IOException, InterruptedException {
		if (this.gateway != null) {
			this.gateway.destroyForcibly().waitFor();
		}
		this.plain.close();
		this.silent.close();
		this.store.close();
	}

	private static void answer(RawServer.Request request, Socket socket) throws IOException {
		int length = request.target().startsWith("/order/") ? ANSWER_BYTES : 2;
		RawServer.write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nResponse-Signature: s\r\nContent-Length: " + length + "\r\n\r\n" + "a".repeat(length));
	}

	private int ask() throws IOException {
		try (Socket socket = this.node.connect(this.node.callerPort())) {
			socket.setSoTimeout((int) ANSWER_WAIT.toMillis());
			RawServer.write(socket, Crowd.head("GET", "/look/1") + "\r\n");
			return CallerAnswer.read(socket.getInputStream()).status();
		}
	}

	private void sampleDescriptors(Process process) {
		try (DirectoryStream<Path> open = Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/fd"))) {
			long count = 0;
			for (Path descriptor : open) {
				count += descriptor.isAbsolute() ? 1 : 0;
			}
			this.maximumDescriptors = Math.max(this.maximumDescriptors, count);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void awaitMetrics() {
		Awaitility.await().atMost(ANSWER_WAIT).ignoreExceptions().until(() -> {
			try (Socket socket = this.node.connect(METRICS_PORT)) {
				RawServer.write(socket, Crowd.head("GET", "/metrics") + "\r\n");
				return CallerAnswer.read(socket.getInputStream()).body().contains("entry_");
			}
		});
	}

	private void assertSurvives(Crowd crowd) throws IOException {
		Process process = Objects.requireNonNull(this.gateway);
		if (crowd.port == Port.METRICS) {
			awaitMetrics();
		}
		InetSocketAddress address = new InetSocketAddress(IP, crowd.port.number(this.node));
		try (ClientCrowd clients = new ClientCrowd(address, crowd.size, crowd.bytes())) {
			clients.send(() -> sampleDescriptors(process));
			Awaitility.await().atMost(ANSWER_WAIT).ignoreExceptions().until(() -> !process.isAlive() || ask() == 200);
			Awaitility.await()
				.atMost(ANSWER_WAIT)
				.ignoreExceptions()
				.until(() -> !process.isAlive() || this.node.readiness() == 200);
		}
		finally {
			long kilobytes = process.isAlive() ? ProcessSample.status(process.pid(), "VmHWM") : -1;
			System.out.println(
					"measured " + crowd + ": " + kilobytes + " kB, " + this.maximumDescriptors + " descriptors, alive "
							+ process.isAlive() + ", out of memory " + Files.readString(this.log).contains("OutOf"));
		}
		assertThat(process.isAlive()).isTrue();
		assertThat(Files.readString(this.log)).doesNotContain("OutOfMemoryError", "OutOfDirectMemoryError");
		assertThat(ProcessSample.status(process.pid(), "VmHWM")).isLessThanOrEqualTo(MAXIMUM_KILOBYTES);
		assertThat(this.maximumDescriptors).isLessThanOrEqualTo(DESCRIPTORS - FILE_DESCRIPTORS);
	}

	/** Guards against a limit that is lifted again. */
	@ParameterizedTest
	@EnumSource(Crowd.class)
	void survives(Crowd crowd) throws IOException {
		assertSurvives(crowd);
	}

	private enum Port {

		CALLERS, READINESS, METRICS, GATEWAYS;

		private int number(EmulatedSettings.Node node) {
			return switch (this) {
				case CALLERS -> node.callerPort();
				case READINESS -> node.readinessPort();
				case METRICS -> METRICS_PORT;
				case GATEWAYS -> node.internalPort();
			};
		}

	}

	private enum Crowd {

		HEADS_WITHOUT_END(Port.CALLERS, 350, head("POST", "/order/1") + fields()),

		HEADS_WITHOUT_BODY(Port.CALLERS, 350, head("POST", "/order/1") + "Content-Length: 9\r\n" + fields() + "\r\n"),

		HALF_BODIES(Port.CALLERS, 100,
				head("POST", "/order/1") + "Content-Length: 4000000\r\n\r\n" + "a".repeat(1_900_000)),

		TINY_CHUNKS(Port.CALLERS, 300, chunked("/look/1")),

		TINY_CHUNKS_WITHOUT_ROUTE(Port.CALLERS, 300, chunked("/unknown")),

		UNREAD_ANSWERS(Port.CALLERS, 60, pipelined("/order/1")),

		UNREAD_REFUSALS(Port.CALLERS, 60, pipelined("/unknown")),

		QUEUED_REQUESTS(Port.CALLERS, 150, silent() + "GET / HTTP/1.1\r\n\r\n".repeat(5_000)),

		QUEUED_CHUNKS(Port.CALLERS, 150, silent() + chunked("/look/1")),

		OPEN_CONNECTIONS(Port.CALLERS, 700, ""),

		READINESS_HEADS(Port.READINESS, 350, head("GET", "/api/readyz") + "a:\r\n".repeat(2_000)),

		READINESS_PIPELINED(Port.READINESS, 60, pipelined("/api/readyz")),

		READINESS_CONNECTIONS(Port.READINESS, 700, ""),

		METRICS_PIPELINED(Port.METRICS, 60, pipelined("/metrics")),

		METRICS_CONNECTIONS(Port.METRICS, 700, ""),

		GATEWAY_FRAMES(Port.GATEWAYS, 300, frame(1_048_000, 1_000_000)),

		GATEWAY_CONNECTIONS(Port.GATEWAYS, 700, "");

		private final Port port;

		private final int size;

		private final String text;

		Crowd(Port port, int size, String text) {
			this.port = port;
			this.size = size;
			this.text = text;
		}

		private byte[] bytes() {
			return this.text.getBytes(StandardCharsets.ISO_8859_1);
		}

		private static String head(String method, String target) {
			return method + " " + target + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + EmulatedSettings.KEY
					+ "\r\n";
		}

		private static String fields() {
			return "a:\r\n".repeat(4_000);
		}

		// With a body after which the gateway reads many bytes at once.
		private static String silent() {
			return head("POST", "/long/1") + "Content-Length: 60000\r\n\r\n" + "a".repeat(60_000);
		}

		private static String chunked(String target) {
			return head("POST", target) + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\na\r\n".repeat(30_000);
		}

		private static String pipelined(String target) {
			return (head("GET", target) + "\r\n").repeat(5_000);
		}

		private static String frame(int announced, int sent) {
			byte[] length = ByteBuffer.allocate(Integer.BYTES).putInt(announced).array();
			return new String(length, StandardCharsets.ISO_8859_1) + "a".repeat(sent);
		}

	}

}
