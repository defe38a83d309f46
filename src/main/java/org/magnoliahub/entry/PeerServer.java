package org.magnoliahub.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;

/**
 * Accepts links of other gateways, for which this one batches stage calls.
 */
final class PeerServer implements PeerConnection.Listener {

	private final Map<PeerConnection, String> members = new HashMap<>();

	private final Handler handler;

	PeerServer(Handler handler) {
		this.handler = handler;
	}

	void listen(EventLoopGroup group, InetSocketAddress address) throws IOException {
		ServerBootstrap options = new ServerBootstrap().childOption(ChannelOption.TCP_NODELAY, true);
		Channels.listen(options, group, address, (channel) -> new PeerConnection(this).install(channel));
	}

	/**
	 * Sends a heartbeat on every link.
	 * @param heartbeat creates the message, called only if there is a link
	 */
	void broadcastHeartbeat(Supplier<PeerMessage.Heartbeat> heartbeat) {
		if (this.members.isEmpty()) {
			return;
		}
		PeerMessage.Heartbeat message = heartbeat.get();
		this.members.keySet().forEach((connection) -> connection.send(message));
	}

	/**
	 * Sends a message to another gateway.
	 * @param member its name
	 * @param message the message, dropped if that gateway has no link
	 */
	void send(String member, PeerMessage message) {
		for (Map.Entry<PeerConnection, String> entry : this.members.entrySet()) {
			if (entry.getValue().equals(member)) {
				entry.getKey().send(message);
			}
		}
	}

	@Override
	public void onMessage(PeerConnection source, PeerMessage message) {
		if (message instanceof PeerMessage.Hello hello) {
			closeEarlierConnections(hello.member());
			this.members.put(source, hello.member());
			source.send(this.handler.heartbeat());
			return;
		}
		String member = this.members.get(source);
		if (member != null) {
			this.handler.onMessage(member, message);
		}
	}

	private void closeEarlierConnections(String member) {
		for (PeerConnection connection : List.copyOf(this.members.keySet())) {
			if (member.equals(this.members.get(connection))) {
				this.members.remove(connection);
				connection.close();
			}
		}
	}

	@Override
	public void onClosed(PeerConnection source) {
		this.members.remove(source);
	}

	/**
	 * Handles the messages of other gateways.
	 */
	interface Handler {

		/**
		 * Returns the current heartbeat.
		 * @return the message
		 */
		PeerMessage.Heartbeat heartbeat();

		/**
		 * Called when a gateway has sent a message.
		 * @param member its name
		 * @param message the message
		 */
		void onMessage(String member, PeerMessage message);

	}

}
