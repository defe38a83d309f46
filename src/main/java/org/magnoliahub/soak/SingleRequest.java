package org.magnoliahub.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.function.Supplier;

import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * Sends a request on a connection of its own.
 */
final class SingleRequest {

	private static final long PATIENCE_MILLIS = 3_000;

	private SingleRequest() {
	}

	/**
	 * Sends a request and waits for its answer.
	 * @param gateway the gateway
	 * @param opener opens the story of the request, called once there is a connection
	 * @throws IOException if the gateway is disturbed
	 */
	static void send(GatewayChild gateway, Supplier<RequestStory> opener) throws IOException {
		try (Socket socket = gateway.connect()) {
			RequestStory story = opener.get();
			long patienceMillis = story.kind().timeoutMillis() + PATIENCE_MILLIS;
			socket.setSoTimeout((int) patienceMillis);
			CallerAnswer answer = new CallerAnswer(0, Map.of(), "", false);
			try {
				RawServer.write(socket, story.request().text(patienceMillis));
				story.writtenAt(Ledger.now());
				answer = CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
			}
			finally {
				story.answered(answer, Ledger.now());
			}
		}
	}

}
