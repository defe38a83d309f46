package org.magnoliahub.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.magnoliahub.platform.emulator.LoopbackListener;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * Passes connections on to one address, and harms them on demand.
 */
final class LoopbackProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 8_192;

	private static final long DELAY_MILLIS = 300;

	private static final long HELD_CHECK_MILLIS = 10;

	private final LoopbackListener listener;

	private final String host;

	private final int port;

	private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

	private volatile Harm harm = Harm.NONE;

	private LoopbackProxy(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		this.host = address.substring(0, colon);
		this.port = Integer.parseInt(address.substring(colon + 1));
		this.listener = LoopbackListener.start(this::connect);
	}

	/**
	 * Starts a proxy on a free port.
	 * @param address host and port to pass connections on to
	 * @return the running proxy
	 * @throws IOException if it cannot listen
	 */
	static LoopbackProxy start(String address) throws IOException {
		return new LoopbackProxy(address);
	}

	String address() {
		return this.listener.address();
	}

	void setHarm(Harm newHarm) {
		this.harm = newHarm;
		if (newHarm == Harm.RESETS) {
			this.listener.connections().forEach(LoopbackProxy::reset);
		}
	}

	/**
	 * Leaves the open connections open and passes nothing on them any more, while new
	 * connections work.
	 */
	void silenceConnections() {
		this.silent.addAll(this.listener.connections());
	}

	private void connect(Socket caller) {
		if (this.harm == Harm.RESETS) {
			reset(caller);
			return;
		}
		try {
			Socket target = new Socket(this.host, this.port);
			target.setTcpNoDelay(true);
			caller.setTcpNoDelay(true);
			LoopbackListener.daemon(() -> pass(caller, target, caller, Harm.LOSES_REQUESTS));
			pass(target, caller, caller, Harm.LOSES_ANSWERS);
		}
		catch (IOException ex) {
			reset(caller);
		}
	}

	// A one-way loss holds the bytes back like a network that drops packets, and passes
	// them on when the harm ends, as a retransmission does.
	private void pass(Socket from, Socket to, Socket caller, Harm loss) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			int count = input.read(buffer);
			while (count >= 0) {
				awaitPassage(loss);
				if (!this.silent.contains(caller)) {
					output.write(buffer, 0, count);
					output.flush();
				}
				count = input.read(buffer);
			}
			awaitPassage(loss);
			if (this.silent.contains(caller) && from != caller) {
				// The caller does not learn that the target has closed its connection.
				return;
			}
			to.close();
			from.close();
		}
		catch (IOException ex) {
			reset(to);
			reset(from);
		}
	}

	private void awaitPassage(Harm loss) throws IOException {
		try {
			if (this.harm == Harm.DELAYS && loss == Harm.LOSES_REQUESTS) {
				Thread.sleep(DELAY_MILLIS);
			}
			while (this.harm == loss) {
				Thread.sleep(HELD_CHECK_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	private static void reset(Socket socket) {
		try {
			RawServer.reset(socket);
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.connections().forEach(LoopbackProxy::reset);
		this.listener.close();
	}

	/**
	 * Harm to connections.
	 */
	enum Harm {

		/** Passes everything on. */
		NONE,

		/** Passes what goes to the target on late. */
		DELAYS,

		/** Holds back what goes to the target. */
		LOSES_REQUESTS,

		/** Holds back what comes from the target. */
		LOSES_ANSWERS,

		/** Resets old and new connections. */
		RESETS

	}

}
