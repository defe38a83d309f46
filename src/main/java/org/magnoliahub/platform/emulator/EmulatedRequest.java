package org.magnoliahub.platform.emulator;

/**
 * A request of an emulated caller.
 *
 * @param method its method
 * @param target path and query
 * @param id id of the request, a letter and a number
 * @param stagePieces pieces of each of its stages as on the wire, empty without stages
 * @param key key of the caller
 * @param prompt parts of its prompt as on the wire, empty without a prompt
 */
public record EmulatedRequest(String method, String target, String id, String stagePieces, String key, String prompt) {

	/** Body of requests that have one. */
	public static final String BODY = "hi";

	/**
	 * Creates a request with the key that all configurations have.
	 * @param method its method
	 * @param target path and query
	 * @param id id of the request, a letter and a number
	 * @param stagePieces pieces of each of its stages as on the wire, empty without
	 * stages
	 */
	public EmulatedRequest(String method, String target, String id, String stagePieces) {
		this(method, target, id, stagePieces, EmulatedSettings.KEY);
	}

	/**
	 * Creates a request without a prompt.
	 * @param method its method
	 * @param target path and query
	 * @param id id of the request, a letter and a number
	 * @param stagePieces pieces of each of its stages as on the wire, empty without
	 * stages
	 * @param key key of the caller
	 */
	public EmulatedRequest(String method, String target, String id, String stagePieces, String key) {
		this(method, target, id, stagePieces, key, "");
	}

	/**
	 * Returns the request as it is sent.
	 * @param budgetMillis how long the caller waits
	 * @return its text
	 */
	public String text(long budgetMillis) {
		StringBuilder text = new StringBuilder(this.method + " " + this.target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: "
				+ this.id + "\r\nAuthorization: Bearer " + this.key + "\r\nDeadline-Ms: " + budgetMillis + "\r\n");
		if (!this.stagePieces.isEmpty()) {
			text.append("Pieces: ").append(this.stagePieces);
			text.append("\r\nPiece-Key: k").append(this.id.substring(1)).append("\r\n");
		}
		if (!this.prompt.isEmpty()) {
			text.append("Prompt-Prefix: ").append(this.prompt).append("\r\n");
		}
		return text.append(this.method.equals("POST") ? "Content-Length: 2\r\n\r\n" + BODY : "\r\n").toString();
	}

}
