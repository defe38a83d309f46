import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

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

	static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

}
