package org.magnoliahub.entry;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;

import org.magnoliahub.serving.ZonePreference;

/**
 * Another gateway as the owner of a stage queue sees it: a connection with messages.
 */
final class PeerClient implements Closeable {

	private final Socket socket;

	private final DataInputStream input;

	private final DataOutputStream output;

	private PeerClient(Socket socket) throws IOException {
		this.socket = socket;
		this.input = new DataInputStream(socket.getInputStream());
		this.output = new DataOutputStream(socket.getOutputStream());
	}

	/**
	 * Takes a connection to a gateway, and waits until the gateway knows this one.
	 */
	static PeerClient open(Socket socket, String member) throws IOException {
		PeerClient client = new PeerClient(socket);
		client.send(new PeerMessage.Hello(member));
		client.read();
		return client;
	}

	private void send(PeerMessage message) throws IOException {
		byte[] bytes = PeerCodec.encode(message);
		this.output.writeInt(bytes.length);
		this.output.write(bytes);
		this.output.flush();
	}

	/**
	 * Submits one piece of a request's first stage.
	 */
	void submit(long jobId, String requestId) throws IOException {
		send(new PeerMessage.Submit("read", jobId, requestId, 0, List.of(0), "k", List.of(), false, 100, 3_000, 4_000,
				0, ZonePreference.NONE));
	}

	/**
	 * Waits for a result.
	 * @return the next one
	 */
	PeerMessage.Result awaitResult() throws IOException {
		while (true) {
			if (read() instanceof PeerMessage.Result result) {
				return result;
			}
		}
	}

	private PeerMessage read() throws IOException {
		byte[] frame = new byte[this.input.readInt()];
		this.input.readFully(frame);
		PeerMessage message = PeerCodec.decode(frame);
		if (message == null) {
			throw new IOException("unknown message");
		}
		return message;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
