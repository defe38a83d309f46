import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliahub.platform.emulator.RawServer;

/**
 * What servers and consumers of the cases share.
 */
final class Peer {

	private Peer() {
	}

	/** Works for some time, and returns whether the channel is still open after it. */
	static boolean work(Socket socket, long millis) throws IOException {
		long end = System.nanoTime() + millis * 1_000_000;
		InputStream input = socket.getInputStream();
		while (true) {
			long left = (end - System.nanoTime()) / 1_000_000;
			if (left <= 0) {
				socket.setSoTimeout(0);
				return true;
			}
			socket.setSoTimeout((int) Math.max(1, Math.min(left, 20)));
			try {
				if (input.read() < 0) {
					return false;
				}
			}
			catch (SocketTimeoutException ex) {
				// The channel is open.
			}
			catch (IOException ex) {
				return false;
			}
		}
	}

	/**
	 * Starts a server that resets channels beyond its limit. The handler gets a head; the body is still to be read.
	 */
	static String serve(int maximumChannels, int receiveBuffer, RawServer.Handler handler) throws IOException {
		ServerSocket listener = new ServerSocket();
		listener.setReceiveBufferSize(receiveBuffer);
		listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		AtomicInteger open = new AtomicInteger();
		start(() -> {
			while (true) {
				Socket socket = listener.accept();
				if (open.incrementAndGet() > maximumChannels) {
					RawServer.reset(socket);
					open.decrementAndGet();
					continue;
				}
				start(() -> {
					try (socket) {
						socket.setTcpNoDelay(true);
						for (RawServer.Request next = head(socket); next != null; next = head(socket)) {
							handler.handle(next, socket);
						}
					}
					finally {
						open.decrementAndGet();
					}
				});
			}
		});
		return "127.0.0.1:" + listener.getLocalPort();
	}

	private static RawServer.Request head(Socket socket) throws IOException {
		if (socket.isClosed()) {
			return null;
		}
		StringBuilder head = new StringBuilder();
		InputStream input = socket.getInputStream();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		String[] lines = head.toString().split("\r\n");
		Map<String, String> headers = new HashMap<>();
		for (int line = 1; line < lines.length; line++) {
			int colon = lines[line].indexOf(':');
			headers.put(lines[line].substring(0, colon).toLowerCase(Locale.ROOT), lines[line].substring(colon + 1).trim());
		}
		return new RawServer.Request(lines[0], headers, "");
	}

	/** Returns how many bytes of a body are to be read. */
	static int bodyLength(RawServer.Request request) {
		return Integer.parseInt(request.headers().getOrDefault("content-length", "0"));
	}

	/** Returns the time, of System.nanoTime, at which a server has to stop work on a request that has just come. */
	static long deadline(RawServer.Request request) {
		return System.nanoTime() + 1_000_000L * Long.parseLong(request.headers().getOrDefault("deadline-ms", "60000"));
	}

	static void start(Task task) {
		Thread thread = new Thread(null, () -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The peer has closed or reset the channel.
			}
		}, "stand-in", 262_144);
		thread.setDaemon(true);
		thread.start();
	}

	/** Work that ends with its channel. */
	interface Task {

		void run() throws IOException;

	}

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

}
