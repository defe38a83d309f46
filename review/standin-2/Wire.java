package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads heads and bodies of HTTP/1.1 messages.
 */
final class Wire {

	private Wire() {
	}

	/**
	 * First line and fields of a message.
	 */
	record Head(String line, Map<String, String> fields) {

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String field(String name) {
			return this.fields.get(name.toLowerCase(Locale.ROOT));
		}

		int length() {
			String length = field("Content-Length");
			return (length != null) ? Integer.parseInt(length.trim()) : -1;
		}

	}

	/**
	 * Reads a head.
	 * @return the head, or null at the end of the connection
	 */
	static Head readHead(InputStream input) throws IOException {
		String line = readLine(input);
		if (line == null) {
			return null;
		}
		Map<String, String> fields = new TreeMap<>();
		String field = readLine(input);
		while (field != null && !field.isEmpty()) {
			int colon = field.indexOf(':');
			fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
			field = readLine(input);
		}
		return (field != null) ? new Head(line, fields) : null;
	}

	private static String readLine(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = input.read();
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.write(next);
			}
			next = input.read();
		}
		return (next < 0) ? null : line.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
	}

	/**
	 * Body of a message and whether it is complete.
	 */
	record Body(byte[] bytes, boolean complete, String end) {
	}

	/**
	 * Reads a body as a client does.
	 */
	static Body readBody(InputStream input, Head head) {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if ("chunked".equals(head.field("Transfer-Encoding"))) {
				while (true) {
					String line = readLine(input);
					if (line == null) {
						return new Body(body.toByteArray(), false, "closed within chunks");
					}
					int size = Integer.parseInt(line.split(";")[0].trim(), 16);
					if (size == 0) {
						readLine(input);
						return new Body(body.toByteArray(), true, "last chunk");
					}
					byte[] chunk = input.readNBytes(size);
					body.writeBytes(chunk);
					if (chunk.length < size) {
						return new Body(body.toByteArray(), false, "closed within a chunk");
					}
					readLine(input);
				}
			}
			if (head.length() >= 0) {
				byte[] bytes = input.readNBytes(head.length());
				return new Body(bytes, bytes.length == head.length(), "length " + head.length());
			}
			body.writeBytes(input.readAllBytes());
			return new Body(body.toByteArray(), true, "closed");
		}
		catch (IOException ex) {
			return new Body(body.toByteArray(), false, "connection failed: " + ex.getMessage());
		}
	}

}
