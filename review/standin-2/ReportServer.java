package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;

/**
 * A sound server: runs each request at once and sends its whole answer, which is as long
 * as the last part of the path says. It keeps connections for further requests.
 */
final class ReportServer {

	private final ServerSocket listener = new ServerSocket();

	private final Journal journal;

	private final String name;

	/** Ids of the requests whose whole answer was sent. */
	private final Set<String> answered;

	ReportServer(Journal journal, String name, Set<String> answered) throws IOException {
		this.journal = journal;
		this.name = name;
		this.answered = answered;
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(Deployment.HOST), 0), 100);
		start(this::accept);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "server");
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.listener.getLocalPort();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			this.journal.write("server " + this.name + " ended: " + ex);
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream input = socket.getInputStream();
			OutputStream output = socket.getOutputStream();
			for (Wire.Head head = Wire.readHead(input); head != null; head = Wire.readHead(input)) {
				input.skipNBytes(Math.max(0, head.length()));
				String target = head.line().split(" ")[1];
				String id = head.field("Request-Id");
				int size = Integer.parseInt(target.substring(target.lastIndexOf('/') + 1));
				byte[] body = new byte[size];
				Arrays.fill(body, (byte) 'r');
				output.write(Deployment.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + id
						+ "\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/plain\r\n"
						+ "Content-Length: " + size + "\r\n\r\n"));
				output.write(body);
				output.flush();
				this.answered.add(id);
				this.journal.write("server " + this.name + " ran " + id + " and sent its whole answer, " + size
						+ " bytes");
			}
		}
		catch (IOException ex) {
			this.journal.write("server " + this.name + ": connection ended: " + ex.getMessage());
		}
	}

}
