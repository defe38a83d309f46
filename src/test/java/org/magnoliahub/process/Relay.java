package org.magnoliahub.process;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay on loopback between gateways and one agent that can cut connections and
 * hold back what is sent in one or both directions.
 */
final class Relay implements AutoCloseable {

	private final ServerSocket listener;

	private final int targetPort;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private boolean toAgentBlocked;

	private boolean toGatewayBlocked;

	private Relay(ServerSocket listener, int targetPort) {
		this.listener = listener;
		this.targetPort = targetPort;
	}

	static Relay start(int targetPort) throws IOException {
		Relay relay = new Relay(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), targetPort);
		startThread(relay::accept);
		return relay;
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "relay");
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.listener.getLocalPort();
	}

	/**
	 * Closes all connections; new ones are accepted.
	 */
	void cut() {
		this.sockets.forEach(Relay::close);
	}

	private static void close(Closeable socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void block(boolean toAgent, boolean toGateway) {
		this.toAgentBlocked = toAgent;
		this.toGatewayBlocked = toGateway;
		notifyAll();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket gateway = this.listener.accept();
				this.sockets.add(gateway);
				startThread(() -> connect(gateway));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket gateway) {
		try (gateway; Socket agent = new Socket(InetAddress.getLoopbackAddress(), this.targetPort)) {
			this.sockets.add(agent);
			startThread(() -> copy(agent, gateway, false));
			copy(gateway, agent, true);
		}
		catch (IOException ex) {
			// The gateway sees a closed connection.
		}
	}

	private void copy(Socket from, Socket to, boolean toAgent) {
		byte[] buffer = new byte[16_384];
		try (from; to) {
			InputStream input = from.getInputStream();
			for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
				awaitOpen(toAgent);
				to.getOutputStream().write(buffer, 0, length);
			}
		}
		catch (IOException ex) {
			// Both ends are closed.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.sockets.remove(from);
		this.sockets.remove(to);
	}

	private synchronized void awaitOpen(boolean toAgent) throws InterruptedException {
		while (toAgent ? this.toAgentBlocked : this.toGatewayBlocked) {
			wait();
		}
	}

	@Override
	public void close() {
		block(false, false);
		close(this.listener);
		cut();
	}

}
