package org.magnoliahub.platform.emulator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * What a caller got.
 *
 * @param status the status, zero if the connection was closed before an answer
 * @param headers headers in lower case
 * @param body the body as far as it came
 * @param complete whether the body was complete
 */
public record CallerAnswer(int status, Map<String, String> headers, String body, boolean complete) {

	private static final int HEXADECIMAL = 16;

	/**
	 * Reads an answer.
	 * @param input what comes from the gateway
	 * @return the answer, as far as it came before the end of the connection
	 * @throws IOException if the connection breaks before the body
	 */
	public static CallerAnswer read(InputStream input) throws IOException {
		String start = HeadReader.line(input);
		if (start == null || start.isEmpty()) {
			return new CallerAnswer(0, Map.of(), "", false);
		}
		HeadReader.Headers head = HeadReader.headers(input);
		Map<String, String> headers = head.values();
		int status = Integer.parseInt(start.split(" ")[1]);
		if (!head.complete()) {
			return new CallerAnswer(status, headers, "", false);
		}
		if (headers.containsKey("transfer-encoding")) {
			return chunked(input, status, headers);
		}
		if (!headers.containsKey("content-length") && hasBody(status)) {
			return untilClose(input, status, headers);
		}
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		byte[] body = input.readNBytes(length);
		return new CallerAnswer(status, headers, new String(body, StandardCharsets.UTF_8), body.length == length);
	}

	private static boolean hasBody(int status) {
		return status >= 200 && status != 204 && status != 304;
	}

	// A reset is no end of an answer.
	private static CallerAnswer untilClose(InputStream input, int status, Map<String, String> headers) {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean complete = false;
		try {
			input.transferTo(body);
			complete = true;
		}
		catch (IOException ex) {
			// The part that came stays an answer.
		}
		return new CallerAnswer(status, headers, body.toString(StandardCharsets.UTF_8), complete);
	}

	private static CallerAnswer chunked(InputStream input, int status, Map<String, String> headers) {
		StringBuilder body = new StringBuilder();
		try {
			while (true) {
				String size = HeadReader.line(input);
				if (size == null || size.isEmpty()) {
					return new CallerAnswer(status, headers, body.toString(), false);
				}
				int length = Integer.parseInt(size, HEXADECIMAL);
				body.append(new String(input.readNBytes(length), StandardCharsets.UTF_8));
				boolean ended = HeadReader.line(input) == null;
				if (ended || length == 0) {
					return new CallerAnswer(status, headers, body.toString(), !ended);
				}
			}
		}
		catch (IOException ex) {
			// A reset or a caller that gave up; the part that came stays an answer.
			return new CallerAnswer(status, headers, body.toString(), false);
		}
	}

	/**
	 * Returns the proof that an endpoint made the answer.
	 * @return the proof, empty if there is none
	 */
	public String signature() {
		return this.headers.getOrDefault("response-signature", "");
	}

	/**
	 * Returns the request that it names.
	 * @return id of the request, empty if it names none
	 */
	public String requestId() {
		return this.headers.getOrDefault("request-id", "");
	}

	/**
	 * Returns whether the status promises that no endpoint runs the request.
	 * @return whether it is such a promise
	 */
	public boolean promisesNoRun() {
		return this.status == 408 || this.status == 421 || this.status == 429 || this.status == 503;
	}

	/**
	 * Returns whether the gateway closes the connection after it.
	 * @return whether the connection must not be used again
	 */
	public boolean closes() {
		return !this.complete || "close".equalsIgnoreCase(this.headers.getOrDefault("connection", ""));
	}

}
