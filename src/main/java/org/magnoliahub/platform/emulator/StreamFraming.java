package org.magnoliahub.platform.emulator;

import java.io.IOException;
import java.net.Socket;

/**
 * Ways in which the stream of an emulated endpoint states its end.
 */
enum StreamFraming {

	/** Chunks; a stream that is broken off ends inside a chunk. */
	CHUNKS("Transfer-Encoding: chunked\r\n"),

	/** Chunks; a stream that is broken off has whole chunks and a last one. */
	CHUNKS_TO_THE_END("Transfer-Encoding: chunked\r\n"),

	/** Neither a length nor chunks: the stream ends with its connection. */
	CONNECTION("Connection: close\r\n");

	private static final int CUT_LENGTH = 5;

	/** Size of a chunk that is larger than what is sent of it. */
	private static final String CUT_CHUNK = "40\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private final String header;

	StreamFraming(String header) {
		this.header = header;
	}

	static StreamFraming of(String requestId) {
		return values()[Math.floorMod(requestId.hashCode() * 17, values().length)];
	}

	String header() {
		return this.header;
	}

	String whole(String event) {
		return (this == CONNECTION) ? event : chunk(event);
	}

	/**
	 * Returns what is sent last of a stream that is broken off.
	 * @param event the event within which it breaks off
	 * @return the bytes before the end of the connection
	 */
	String cut(String event) {
		String part = event.substring(0, CUT_LENGTH);
		return switch (this) {
			case CHUNKS -> CUT_CHUNK + part;
			case CHUNKS_TO_THE_END -> chunk(part) + LAST_CHUNK;
			case CONNECTION -> part;
		};
	}

	void end(Socket socket) throws IOException {
		if (this == CONNECTION) {
			socket.close();
			return;
		}
		RawServer.write(socket, LAST_CHUNK);
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

}
