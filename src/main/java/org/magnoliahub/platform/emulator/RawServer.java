package org.magnoliahub.platform.emulator;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A server on loopback whose answers are raw bytes, so that it can give answers that no
 * HTTP library would give.
 */
public final class RawServer implements Closeable {

	private final LoopbackListener listener;

	private RawServer(LoopbackListener listener) {
		this.listener = listener;
	}

	/**
	 * Starts a server on a free port.
	 * @param handler answers requests, each on the thread of its connection
	 * @return the running server
	 * @throws IOException if it cannot listen
	 */
	public static RawServer start(Handler handler) throws IOException {
		return new RawServer(LoopbackListener.start((socket) -> serve(socket, handler)));
	}

	/**
	 * Returns where it listens.
	 * @return host and port
	 */
	public String address() {
		return this.listener.address();
	}

	private static void serve(Socket socket, Handler handler) {
		try (socket) {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			Request request = read(input);
			while (request != null) {
				handler.handle(request, socket);
				if (socket.isClosed()) {
					return;
				}
				request = read(input);
			}
		}
		catch (IOException ex) {
			// The peer has closed or reset the connection.
		}
	}

	static @Nullable Request read(InputStream input) throws IOException {
		String start = HeadReader.line(input);
		if (start == null) {
			return null;
		}
		HeadReader.Headers head = HeadReader.headers(input);
		if (!head.complete()) {
			return null;
		}
		Map<String, String> headers = head.values();
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		return new Request(start, headers, new String(input.readNBytes(length), StandardCharsets.UTF_8));
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	/**
	 * Writes a text to a connection.
	 * @param socket the connection
	 * @param text the text
	 * @throws IOException if the connection is broken
	 */
	public static void write(Socket socket, String text) throws IOException {
		OutputStream output = socket.getOutputStream();
		output.write(text.getBytes(StandardCharsets.UTF_8));
		output.flush();
	}

	/**
	 * Ends a connection without a proper close.
	 * @param socket the connection
	 * @throws IOException if the connection is broken
	 */
	public static void reset(Socket socket) throws IOException {
		socket.setSoLinger(true, 0);
		socket.close();
	}

	/**
	 * Answers requests.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Answers a request.
		 * @param request the request
		 * @param socket its connection
		 * @throws IOException if the connection is broken
		 */
		void handle(Request request, Socket socket) throws IOException;

	}

	/**
	 * A request.
	 *
	 * @param start its first line
	 * @param headers headers in lower case
	 * @param body its body
	 */
	public record Request(String start, Map<String, String> headers, String body) {

		/**
		 * Returns a header.
		 * @param name its name
		 * @return its value, empty if it is absent
		 */
		public String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		/**
		 * Returns the method.
		 * @return first word of the first line
		 */
		public String method() {
			return this.start.substring(0, Math.max(0, this.start.indexOf(' ')));
		}

		/**
		 * Returns the target.
		 * @return path and query
		 */
		public String target() {
			return this.start.split(" ")[1];
		}

	}

}
