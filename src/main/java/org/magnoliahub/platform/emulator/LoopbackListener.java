package org.magnoliahub.platform.emulator;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Accepts connections on loopback and hands each to a thread of its own.
 */
public final class LoopbackListener implements Closeable {

	private static final int BACKLOG = 100;

	private static final long STACK_BYTES = 256 * 1024;

	private final ServerSocket listener;

	private final Consumer<Socket> handler;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private LoopbackListener(ServerSocket listener, Consumer<Socket> handler) {
		this.listener = listener;
		this.handler = handler;
	}

	/**
	 * Starts to listen on a free port.
	 * @param handler serves a connection until its end
	 * @return the running listener
	 * @throws IOException if it cannot listen
	 */
	public static LoopbackListener start(Consumer<Socket> handler) throws IOException {
		ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		LoopbackListener listener = new LoopbackListener(socket, handler);
		daemon(listener::accept);
		return listener;
	}

	/**
	 * Runs a task on a thread that does not keep the process alive.
	 * @param task the task
	 */
	public static void daemon(Runnable task) {
		Thread thread = new Thread(null, task, "loopback", STACK_BYTES);
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Returns where it listens.
	 * @return host and port
	 */
	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Returns the connections that are open.
	 * @return the connections
	 */
	public Set<Socket> connections() {
		return this.connections;
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.connections.add(socket);
				daemon(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The listener was closed.
		}
	}

	private void serve(Socket socket) {
		try {
			this.handler.accept(socket);
		}
		finally {
			this.connections.remove(socket);
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
