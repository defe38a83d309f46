package org.magnoliahub.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients that all send the same bytes and read nothing.
 */
final class ClientCrowd implements AutoCloseable {

	private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long MAXIMUM_NANOS = TimeUnit.SECONDS.toNanos(20);

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private final List<SocketChannel> channels = new ArrayList<>();

	private final List<ByteBuffer> unsent = new ArrayList<>();

	ClientCrowd(InetSocketAddress address, int size, byte[] bytes) throws IOException {
		for (int index = 0; index < size; index++) {
			SocketChannel channel = SocketChannel.open();
			channel.configureBlocking(false);
			channel.connect(address);
			this.channels.add(channel);
			this.unsent.add(ByteBuffer.wrap(bytes));
		}
	}

	/**
	 * Sends until the server reads no more.
	 * @param sample called between writes
	 */
	void send(Runnable sample) {
		long started = System.nanoTime();
		long lastProgress = started;
		while (System.nanoTime() - started < MAXIMUM_NANOS && System.nanoTime() - lastProgress < QUIET_NANOS) {
			if (writeAll()) {
				lastProgress = System.nanoTime();
			}
			sample.run();
			LockSupport.parkNanos(PAUSE_NANOS);
		}
	}

	private boolean writeAll() {
		boolean progress = false;
		for (int index = 0; index < this.channels.size(); index++) {
			progress |= write(this.channels.get(index), this.unsent.get(index));
		}
		return progress;
	}

	// A server may close the connection of a client that sends too much.
	private static boolean write(SocketChannel channel, ByteBuffer bytes) {
		try {
			return channel.isOpen() && (channel.isConnected() || channel.finishConnect()) && channel.write(bytes) > 0;
		}
		catch (IOException ex) {
			closeQuietly(channel);
			return true;
		}
	}

	private static void closeQuietly(SocketChannel channel) {
		try {
			channel.close();
		}
		catch (IOException ex) {
			// The channel has no further use.
		}
	}

	@Override
	public void close() {
		this.channels.forEach(ClientCrowd::closeQuietly);
	}

}
