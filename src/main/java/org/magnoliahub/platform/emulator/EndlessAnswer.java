package org.magnoliahub.platform.emulator;

import java.io.IOException;
import java.net.Socket;

/**
 * Ways in which a server can send bytes without end instead of an answer.
 */
public enum EndlessAnswer {

	/** A first line that does not end. */
	HEAD_LINE("HTTP/1.1 200 ", "x"),

	/** Headers without end. */
	HEADERS("HTTP/1.1 200 OK\r\n", "X-More: yes\r\n"),

	/** Heads that only announce an answer. */
	INFORMATIONAL_HEADS("", "HTTP/1.1 102 Processing\r\n\r\n"),

	/** Blank lines in front of a head. */
	BLANK_LINES("", "\r\n"),

	/** A body that is longer than any answer. */
	BODY_WITH_LENGTH(EndlessAnswer.OWN_HEAD + "Content-Length: 900000000000\r\n\r\n", "x"),

	/** A body whose end is the end of the connection. */
	BODY_WITHOUT_LENGTH(EndlessAnswer.OWN_HEAD + "\r\n", "x"),

	/** Chunks without the last one. */
	CHUNKED_BODY(EndlessAnswer.CHUNKED_HEAD, "4\r\nxxxx\r\n"),

	/** Chunks that consist mostly of extensions. */
	PADDED_CHUNKS(EndlessAnswer.CHUNKED_HEAD, "1;" + "e".repeat(500) + "\r\nx\r\n"),

	/** An extension of a chunk that does not end. */
	CHUNK_EXTENSION(EndlessAnswer.CHUNKED_HEAD + "4;", "e"),

	/** Headers without end behind the last chunk. */
	TRAILERS(EndlessAnswer.CHUNKED_HEAD + "1\r\nx\r\n0\r\n", "X-More: yes\r\n"),

	/** The answer to another request. */
	FOREIGN_ANSWER("HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 900000000000\r\n\r\n", "x"),

	/** A stream in which no event ends. */
	EVENTS_WITHOUT_END(EndlessAnswer.CHUNKED_HEAD, "8\r\ndata: x\n\r\n");

	private static final int PARTS_AT_ONCE = 200;

	private static final String OWN_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {signature}\r\n";

	private static final String CHUNKED_HEAD = OWN_HEAD
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

	private final String start;

	private final String part;

	EndlessAnswer(String start, String part) {
		this.start = start;
		this.part = part;
	}

	/**
	 * Returns what is sent once.
	 * @param requestId id of the request
	 * @param signature signature of the endpoint
	 * @return the first bytes, possibly none
	 */
	public String start(String requestId, String signature) {
		return this.start.replace("{id}", requestId).replace("{signature}", signature);
	}

	/**
	 * Returns what is repeated without end.
	 * @return some bytes
	 */
	public String part() {
		return this.part;
	}

	static EndlessAnswer of(String requestId) {
		return values()[Math.floorMod(requestId.hashCode(), values().length)];
	}

	/**
	 * Sends the answer until the connection is closed.
	 * @param socket the connection
	 * @param requestId id of the request
	 * @param signature signature of the endpoint
	 * @throws IOException if the connection is broken
	 */
	void writeTo(Socket socket, String requestId, String signature) throws IOException {
		RawServer.write(socket, start(requestId, signature));
		String parts = part().repeat(PARTS_AT_ONCE);
		while (!socket.isClosed()) {
			RawServer.write(socket, parts);
		}
	}

}
