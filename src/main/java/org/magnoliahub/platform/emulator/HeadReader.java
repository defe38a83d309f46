package org.magnoliahub.platform.emulator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Reads lines and headers of requests and answers.
 */
final class HeadReader {

	private HeadReader() {
	}

	/**
	 * Reads a line.
	 * @param input what comes from the peer
	 * @return the line without its end, or {@code null} if the connection ends before the
	 * line does
	 * @throws IOException if the connection breaks
	 */
	static @Nullable String line(InputStream input) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int next = input.read();
		while (next != '\n') {
			if (next < 0) {
				return null;
			}
			if (next != '\r') {
				bytes.write(next);
			}
			next = input.read();
		}
		return bytes.toString(StandardCharsets.UTF_8);
	}

	/**
	 * Reads headers up to the empty line behind them.
	 * @param input what comes from the peer
	 * @return the headers, as far as they came before the end of the connection
	 * @throws IOException if the connection breaks
	 */
	static Headers headers(InputStream input) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		String header = line(input);
		while (header != null && !header.isEmpty()) {
			int colon = header.indexOf(':');
			if (colon < 0) {
				return new Headers(headers, false);
			}
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
			header = line(input);
		}
		return new Headers(headers, header != null);
	}

	/**
	 * Headers of a request or an answer.
	 *
	 * @param values the headers, their names in lower case
	 * @param complete whether the empty line behind them came
	 */
	record Headers(Map<String, String> values, boolean complete) {
	}

}
