package org.magnoliahub.platform.emulator;

/**
 * Signed answers to a resumed run that do not continue the stream.
 */
public enum UnresumedAnswer {

	/** The run is not known. */
	NOT_FOUND("404 Not Found", "application/json", "{\"error\":\"no such run\"}"),

	/** The run cannot go on. */
	CONFLICT("409 Conflict", "text/plain", "no such run"),

	/** A failure of the server. */
	SERVER_ERROR("500 Internal Error", "text/plain", "failed"),

	/** A success that is no stream. */
	OTHER_TYPE("200 OK", "application/json", "{\"error\":\"no such run\"}"),

	/** A stream that holds a part of an event only. */
	INCOMPLETE_EVENT("200 OK", "text/event-stream", "data: failed"),

	/** A stream without events. */
	NO_EVENT("200 OK", "text/event-stream", ""),

	/** A stream that begins anew. */
	FIRST_EVENT("200 OK", "text/event-stream", "id: 1\ndata: again\n\n");

	private final String status;

	private final String contentType;

	private final String body;

	UnresumedAnswer(String status, String contentType, String body) {
		this.status = status;
		this.contentType = contentType;
		this.body = body;
	}

	/**
	 * Returns the answer that a request gets.
	 * @param requestId id of the request
	 * @return the same answer for the same id
	 */
	public static UnresumedAnswer of(String requestId) {
		UnresumedAnswer[] answers = values();
		return answers[Math.floorMod(requestId.hashCode(), answers.length)];
	}

	/**
	 * Returns the whole answer.
	 * @param requestId id of the request
	 * @param signature the proof that the endpoint made it
	 * @return head and body
	 */
	public String text(String requestId, String signature) {
		return "HTTP/1.1 " + this.status + "\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: " + signature
				+ "\r\nContent-Type: " + this.contentType + "\r\nContent-Length: " + this.body.length() + "\r\n\r\n"
				+ this.body;
	}

}
