package org.magnoliahub.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.PlatformHeaders;

/**
 * Runs a gateway for a few seconds without a platform, so that the class data sharing
 * archive of the build contains the classes that a start needs.
 */
final class WarmUp {

	private static final long RUN_MILLIS = 3_500;

	/** Short enough that the archive contains the classes that write request records. */
	private static final Duration RECORD_INTERVAL = Duration.ofSeconds(1);

	private WarmUp() {
	}

	static void run() throws InterruptedException {
		try {
			int callers = freePort();
			int readiness = freePort();
			NodeSettings settings = NodeSettingsReader.parse(settings(callers, readiness));
			EntryGateway.start(settings, RECORD_INTERVAL, AsyncStandardOutput.open());
			request(callers, "/");
			request(readiness, PlatformHeaders.READINESS_PATH);
			EntryMetrics.createRegistry();
			Thread.sleep(RUN_MILLIS);
			request(callers, "/again");
		}
		catch (IOException | PlatformFormatException ex) {
			System.err.println("warm-up failed: " + ex.getMessage());
			System.exit(1);
		}
		System.exit(0);
	}

	private static String settings(int callers, int readiness) throws IOException {
		try (InputStream template = WarmUp.class.getResourceAsStream("/entry/warm-up.json")) {
			if (template == null) {
				throw new IOException("resource /entry/warm-up.json with the settings for the warm-up is missing");
			}
			return new String(template.readAllBytes(), StandardCharsets.UTF_8).replace("CALLER_PORT", "" + callers)
				.replace("READINESS_PORT", "" + readiness)
				.replace("INTERNAL_PORT", "" + freePort())
				.replace("STORE_PORT", "" + freePort());
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private static void request(int port, String path) throws IOException {
		HttpURLConnection connection = (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path)
			.toURL()
			.openConnection();
		connection.getResponseCode();
	}

}
