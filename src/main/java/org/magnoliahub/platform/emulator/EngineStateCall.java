package org.magnoliahub.platform.emulator;

import java.io.IOException;
import java.net.Socket;

import org.magnoliahub.platform.PlatformHeaders;

/**
 * Calls by which gateways ask an engine whether it still works. They come from no caller
 * and need no slot.
 */
final class EngineStateCall {

	private EngineStateCall() {
	}

	/**
	 * Answers a request if it is such a call.
	 * @param request the request
	 * @param socket its connection
	 * @param id id of the endpoint
	 * @return whether it is one
	 * @throws IOException if the connection is broken
	 */
	static boolean answer(RawServer.Request request, Socket socket, String id) throws IOException {
		if (!request.target().equals(PlatformHeaders.ENGINE_STATE_PATH)) {
			return false;
		}
		boolean misdirected = !request.header("Target-Instance").equals(id);
		RawServer.write(socket, "HTTP/1.1 " + (misdirected ? "421 X" : "200 OK") + "\r\nRequest-Id: "
				+ request.header("Request-Id") + "\r\nContent-Length: 2\r\n\r\n{}");
		return true;
	}

}
