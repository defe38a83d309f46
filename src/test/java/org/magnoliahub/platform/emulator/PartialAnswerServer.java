package org.magnoliahub.platform.emulator;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * A server that answers each request without a length before it has read the body of the
 * request, and then ends its output or resets the connection.
 */
public final class PartialAnswerServer implements Closeable {

	/** Small, so that most of a long body stays at the client. */
	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	private static final int BACKLOG = 50;

	private static final long TIMEOUT_SECONDS = 10;

	private final ServerSocket listener = new ServerSocket();

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final CompletableFuture<Void> answered = new CompletableFuture<>();

	private final String statusLine;

	private final String body;

	private final @Nullable CompletableFuture<Void> reset;

	/** How many further requests get a part of an answer. */
	private volatile AtomicInteger remainingParts = new AtomicInteger(Integer.MAX_VALUE);

	private PartialAnswerServer(String statusLine, String body, @Nullable CompletableFuture<Void> reset)
			throws IOException {
		this.statusLine = statusLine;
		this.body = body;
		this.reset = reset;
	}

	/**
	 * Starts a server.
	 * @param status the status of its answers
	 * @param contentType their content type
	 * @param body what is sent of their bodies
	 * @param reset lets the server reset its connections when it completes; without it,
	 * the server ends its output behind the body
	 */
	public static PartialAnswerServer start(int status, String contentType, String body,
			@Nullable CompletableFuture<Void> reset) throws IOException {
		PartialAnswerServer server = new PartialAnswerServer(
				"HTTP/1.1 " + status + " X\r\nContent-Type: " + contentType + "\r\n", body, reset);
		server.listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		server.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
		LoopbackListener.daemon(server::accept);
		return server;
	}

	/**
	 * Limits the requests that get a part of an answer. Others are read and get the body
	 * with its length.
	 * @param parts how many requests get a part, shared between servers
	 */
	public void limitParts(AtomicInteger parts) {
		this.remainingParts = parts;
	}

	/**
	 * Returns host and port.
	 */
	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Waits until an answer has been sent as far as the server sends it.
	 */
	public void awaitAnswer() throws ExecutionException, InterruptedException, TimeoutException {
		this.answered.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.connections.add(socket);
				LoopbackListener.daemon(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The listener was closed.
		}
	}

	private void serve(Socket socket) {
		try {
			InputStream input = socket.getInputStream();
			HeadReader.line(input);
			Map<String, String> headers = HeadReader.headers(input).values();
			String head = this.statusLine + "Request-Id: " + headers.getOrDefault("request-id", "r1")
					+ "\r\nResponse-Signature: s\r\nConnection: close\r\n";
			if (this.remainingParts.getAndDecrement() <= 0) {
				input.skipNBytes(Long.parseLong(headers.getOrDefault("content-length", "0")));
				RawServer.write(socket, head + "Content-Length: " + this.body.length() + "\r\n\r\n" + this.body);
				socket.close();
				return;
			}
			RawServer.write(socket, head + "\r\n" + this.body);
			this.answered.complete(null);
			if (this.reset == null) {
				socket.shutdownOutput();
				return;
			}
			this.reset.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			RawServer.reset(socket);
		}
		catch (IOException | ExecutionException | InterruptedException | TimeoutException ex) {
			// The test has ended, or the client has closed the connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.connections) {
			socket.close();
		}
	}

}
