package org.magnoliahub.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;

import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * A way to the emulated store that one gateway has to itself, and on which its calls can
 * be refused.
 */
final class StoreLink implements AutoCloseable {

	private static final CallerAnswer REFUSAL = new CallerAnswer(503, Map.of("Content-Length", "0"), "", true);

	private final RawServer server;

	private final String host;

	private final int port;

	private volatile boolean refusing;

	StoreLink(String storeAddress) throws IOException {
		int colon = storeAddress.lastIndexOf(':');
		this.host = storeAddress.substring(0, colon);
		this.port = Integer.parseInt(storeAddress.substring(colon + 1));
		this.server = RawServer.start(this::handle);
	}

	String address() {
		return this.server.address();
	}

	void setRefusing(boolean value) {
		this.refusing = value;
	}

	private void handle(RawServer.Request request, Socket socket) throws IOException {
		CallerAnswer answer = this.refusing ? REFUSAL : forward(request);
		if (this.refusing) {
			// A call that the store held open ends with a refusal as well.
			answer = REFUSAL;
		}
		RawServer.write(socket,
				"HTTP/1.1 " + answer.status() + " X\r\n" + headers(answer.headers()) + "\r\n" + answer.body());
	}

	private CallerAnswer forward(RawServer.Request request) throws IOException {
		try (Socket store = new Socket(this.host, this.port)) {
			RawServer.write(store, request.start() + "\r\n" + headers(request.headers()) + "\r\n" + request.body());
			return CallerAnswer.read(new BufferedInputStream(store.getInputStream()));
		}
	}

	private static String headers(Map<String, String> headers) {
		StringBuilder text = new StringBuilder();
		headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
		return text.toString();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
