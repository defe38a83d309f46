package org.magnoliahub.process;

import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StoreEmulator;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies without end that exhaust the heap of a deployed gateway, and cost
 * other callers their requests.
 */
class EndlessBodiesIT {

	private static final String IP = "127.0.78.1";

	private static final int ENDLESS_ANSWERS = 400;

	private static final int UPLOADS = 100;

	private static final int UPLOAD_BYTES = 4_000_000;

	private static final int OTHERS = 40;

	private static final Duration OTHER_INTERVAL = Duration.ofMillis(100);

	/** Of each connection, half a megabyte a second with the pause. */
	private static final int PART_BYTES = 20_000;

	private static final Duration PART_PAUSE = Duration.ofMillis(40);

	private static final String ENDLESS_HEAD = "Response-Signature: s\r\nContent-Length: 900000000000\r\n\r\n";

	private StoreEmulator store;

	private EmulatedSettings.Node node;

	private RawServer faulty;

	private RawServer sound;

	private File log;

	private @Nullable Process gateway;

	@BeforeEach
	void start(@TempDir Path directory) throws IOException {
		this.store = new StoreEmulator();
		this.store.put(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY,
				EmulatedSettings.configuration(1, List.of())
					.replace("\"max_body_bytes\":20000", "\"max_body_bytes\":4194304"));
		this.faulty = RawServer.start(EndlessBodiesIT::sendWithoutEnd);
		this.sound = RawServer.start((request, socket) -> RawServer.write(socket,
				head(request) + "Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"));
		this.store.put(StoreFormat.ENDPOINT_TABLE, "long-1",
				EmulatedSettings.endpoint("long", this.faulty.address(), 2 * ENDLESS_ANSWERS, "ready"));
		this.store.put(StoreFormat.ENDPOINT_TABLE, "plain-1",
				EmulatedSettings.endpoint("plain", this.sound.address(), 2 * UPLOADS, "ready"));
		this.node = EmulatedSettings.Node.withFreePorts("gateway-0", IP);
		this.log = directory.resolve("log").toFile();
		Path settings = directory.resolve("settings.json");
		Files.writeString(settings,
				EmulatedSettings.gateway(this.node, new EmulatedSettings.Budget(0.2, 10), this.store.address()));
		ProcessBuilder builder = new ProcessBuilder(DeployedEntry.commandLine()).redirectErrorStream(true)
			.redirectOutput(this.log);
		builder.environment().put(EmulatedSettings.PATH_VARIABLE, settings.toString());
		this.gateway = builder.start();
		awaitReady();
	}

	@AfterEach
	void stop() throws IOException, InterruptedException {
		if (this.gateway != null) {
			this.gateway.destroyForcibly().waitFor();
		}
		this.faulty.close();
		this.sound.close();
		this.store.close();
	}

	private void awaitReady() {
		Awaitility.await().atMost(Duration.ofSeconds(20)).ignoreExceptions().until(() -> this.node.readiness() == 200);
	}

	private static String head(RawServer.Request request) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\n";
	}

	private static void sendWithoutEnd(RawServer.Request request, Socket socket) throws IOException {
		RawServer.write(socket, head(request) + ENDLESS_HEAD);
		byte[] part = new byte[PART_BYTES];
		while (!socket.isClosed()) {
			socket.getOutputStream().write(part);
			LockSupport.parkNanos(PART_PAUSE.toNanos());
		}
	}

	private Socket send(String target, String id, int bodyBytes) throws IOException {
		Socket socket = this.node.connect(this.node.callerPort());
		socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(20));
		RawServer.write(socket,
				"POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nAuthorization: Bearer "
						+ EmulatedSettings.KEY + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
		return socket;
	}

	private static int status(Socket socket) throws IOException {
		try (socket) {
			return CallerAnswer.read(new BufferedInputStream(socket.getInputStream())).status();
		}
	}

	private List<Integer> sendOthers() throws IOException {
		List<Integer> statuses = new ArrayList<>();
		for (int index = 0; index < OTHERS; index++) {
			Socket socket = send("/order/1", "other-" + index, 2);
			RawServer.write(socket, "hi");
			statuses.add(status(socket));
			LockSupport.parkNanos(OTHER_INTERVAL.toNanos());
		}
		return statuses;
	}

	private void assertGatewayIsSound(List<Integer> others) throws IOException {
		assertThat(others).hasSize(OTHERS).containsOnly(200);
		assertThat(this.gateway).matches(Process::isAlive);
		assertThat(this.node.readiness()).isEqualTo(200);
		assertThat(Files.readString(this.log.toPath())).doesNotContain("OutOfMemoryError");
	}

	@Test
	void endlessAnswersCostOtherCallersNoRequest() throws IOException {
		List<Socket> flooded = new ArrayList<>();
		for (int index = 0; index < ENDLESS_ANSWERS; index++) {
			Socket socket = send("/long/1", "flooded-" + index, 2);
			RawServer.write(socket, "hi");
			flooded.add(socket);
		}
		assertGatewayIsSound(sendOthers());
		for (Socket socket : flooded) {
			// A request that an endpoint has got is not reported as not executed.
			assertThat(status(socket)).isIn(502, 504);
		}
	}

	@Test
	void largeUploadsCostOtherCallersNoRequest() throws Exception {
		List<Socket> uploads = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < UPLOADS; index++) {
			Socket socket = send("/order/1", "upload-" + index, UPLOAD_BYTES);
			uploads.add(socket);
			Thread thread = new Thread(() -> upload(socket));
			threads.add(thread);
			thread.start();
		}
		assertGatewayIsSound(sendOthers());
		for (Thread thread : threads) {
			thread.join();
		}
		int served = 0;
		for (Socket socket : uploads) {
			served += isServed(socket) ? 1 : 0;
		}
		assertThat(served).isPositive();
	}

	private static void upload(Socket socket) {
		byte[] part = new byte[PART_BYTES];
		try {
			for (int sent = 0; sent < UPLOAD_BYTES; sent += part.length) {
				socket.getOutputStream().write(part);
				LockSupport.parkNanos(PART_PAUSE.toNanos() / 8);
			}
		}
		catch (IOException ex) {
			// The gateway has refused the request and closed the connection.
		}
	}

	// The refusal of an upload may be lost with the connection, whose bytes are not read.
	private static boolean isServed(Socket socket) {
		try {
			return status(socket) == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
