import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 messages over sockets, and a server with a thread for each connection. */
final class Http {

	private static final Map<String, ServerSocket> LISTENERS = new ConcurrentHashMap<>();

	private Http() {
	}

	/** A message: its first line, its headers (names in lower case) and its body. */
	record Message(String first, Map<String, String> headers, byte[] body) {

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	interface Handler {

		/** Answers a request; an exception closes the connection. */
		void handle(Message request, Socket socket, OutputStream out) throws Exception;

	}

	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				throw new EOFException(line.size() > 0 ? "cut inside a line" : "closed");
			}
			if (next == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
			}
			line.write(next);
		}
	}

	/** Reads the first line and the headers. */
	static Message head(InputStream in) throws IOException {
		String first = line(in);
		Map<String, String> headers = new TreeMap<>();
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Message(first, headers, new byte[0]);
	}

	/** Reads a whole message with a length or in chunks. */
	static Message read(InputStream in) throws IOException {
		Message head = head(in);
		return new Message(head.first(), head.headers(), body(in, head));
	}

	static byte[] body(InputStream in, Message head) throws IOException {
		if (!head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
			String length = head.header("Content-Length");
			return exactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
			body.writeBytes(exactly(in, size));
			line(in);
			if (size == 0) {
				return body.toByteArray();
			}
		}
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("cut inside a body");
		}
		return bytes;
	}

	static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		message.writeBytes(body);
		out.write(message.toByteArray());
		out.flush();
	}

	static void answer(OutputStream out, int status, String headers, String body) throws IOException {
		answer(out, status, headers, body.getBytes(StandardCharsets.UTF_8));
	}

	/** Starts a server on a free port and returns its address. */
	static String serve(String ip, Handler handler) throws IOException {
		ServerSocket listener = new ServerSocket(0, 1024, InetAddress.getByName(ip));
		LISTENERS.put(ip + ":" + listener.getLocalPort(), listener);
		daemon(() -> {
			while (true) {
				Socket socket = listener.accept();
				daemon(() -> connection(socket, handler));
			}
		});
		return ip + ":" + listener.getLocalPort();
	}

	/** Ends a server's listening, as its exit does. */
	static void close(String address) throws IOException {
		LISTENERS.get(address).close();
	}

	private static void connection(Socket socket, Handler handler) throws Exception {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			while (true) {
				handler.handle(read(in), socket, out);
			}
		}
		catch (IOException ex) {
			// The other side has closed the connection.
		}
	}

	interface Task {

		void run() throws Exception;

	}

	static Thread daemon(Task task) {
		Thread thread = new Thread(null, () -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				if (!(ex instanceof IOException)) {
					ex.printStackTrace();
				}
			}
		}, "stand-in", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

}
