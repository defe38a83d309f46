import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A consumer: sends a request on a new channel and reads its answer. */
final class Caller {

	private static final AtomicLong NEXT = new AtomicLong(0x9c41d07be2a30000L);

	private Caller() {
	}

	static String newId() {
		return Long.toHexString(NEXT.incrementAndGet());
	}

	/** An answer; status 0 stands for a closed channel. */
	record Answer(int status, boolean whole, String signature, String text) {
	}

	static Answer send(Socket socket, String head, byte[] body, int timeoutMillis) {
		try (socket) {
			socket.setSoTimeout(timeoutMillis);
			socket.getOutputStream().write((head + "Content-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write(body);
			socket.getOutputStream().flush();
			return answer(new BufferedInputStream(socket.getInputStream()));
		}
		catch (IOException ex) {
			return new Answer(0, false, "", ex.toString());
		}
	}

	static Answer answer(InputStream in) throws IOException {
		Http.Message head = Http.head(in);
		try {
			byte[] body = Http.body(in, head);
			return new Answer(head.status(), true, head.header("Response-Signature"),
					new String(body, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			return new Answer(head.status(), false, head.header("Response-Signature"), ex.toString());
		}
	}

}
