package org.magnoliahub.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import org.magnoliahub.serving.JobOrigin;

/**
 * Accepts links of other gateways, for which this one batches stage calls.
 */
final class PeerServer implements PeerConnection.Listener {

	/** Largest first message, which has the name of a gateway. */
	private static final int FIRST_FRAME_BYTES = 1_024;

	private final Map<PeerConnection, JobOrigin> origins = new HashMap<>();

	private final Handler handler;

	private final RecentChannels unidentified;

	private final RecentChannels identified;

	private long lastConnection;

	/**
	 * Creates a server.
	 * @param handler handles the messages
	 * @param maximumConnections connections of gateways that have stated their name, and
	 * of clients that have not
	 * @param onRefused called when a connection is closed to make room
	 */
	PeerServer(Handler handler, int maximumConnections, Runnable onRefused) {
		this.handler = handler;
		this.unidentified = new RecentChannels(maximumConnections / 4, onRefused);
		this.identified = new RecentChannels(maximumConnections, onRefused);
	}

	void listen(EventLoopGroup group, InetSocketAddress address) throws IOException {
		ServerBootstrap options = new ServerBootstrap().childOption(ChannelOption.TCP_NODELAY, true);
		Channels.listen(options, group, address, this::install);
	}

	private void install(Channel channel) {
		new PeerConnection(this).install(channel, FIRST_FRAME_BYTES);
		this.unidentified.add(channel);
		channel.closeFuture().addListener((closed) -> {
			this.unidentified.remove(channel);
			this.identified.remove(channel);
		});
	}

	/**
	 * Sends a heartbeat on every link.
	 * @param heartbeat creates the message, called only if there is a link
	 */
	void broadcastHeartbeat(Supplier<PeerMessage.Heartbeat> heartbeat) {
		if (this.origins.isEmpty()) {
			return;
		}
		PeerMessage.Heartbeat message = heartbeat.get();
		this.origins.keySet().forEach((connection) -> connection.send(message));
	}

	/**
	 * Sends a message on the connection of a submitter.
	 * @param origin the submitter
	 * @param message the message, dropped if that connection is closed
	 */
	void send(JobOrigin origin, PeerMessage message) {
		for (Map.Entry<PeerConnection, JobOrigin> entry : this.origins.entrySet()) {
			if (entry.getValue().equals(origin)) {
				entry.getKey().send(message);
			}
		}
	}

	@Override
	public void onMessage(PeerConnection source, PeerMessage message) {
		if (message instanceof PeerMessage.Hello hello) {
			closeEarlierConnections(hello.member());
			source.allowLargeFrames();
			Channel channel = source.channel();
			this.unidentified.remove(channel);
			this.identified.add(channel);
			this.lastConnection++;
			this.origins.put(source, new JobOrigin(hello.member(), this.lastConnection));
			source.send(this.handler.heartbeat());
			return;
		}
		JobOrigin origin = this.origins.get(source);
		if (origin != null) {
			this.identified.use(source.channel());
			this.handler.onMessage(origin, message);
		}
	}

	// The other end of such a connection may have vanished without closing it.
	private void closeEarlierConnections(String member) {
		for (Map.Entry<PeerConnection, JobOrigin> entry : List.copyOf(this.origins.entrySet())) {
			if (entry.getValue().gateway().equals(member)) {
				onClosed(entry.getKey());
				entry.getKey().close();
			}
		}
	}

	@Override
	public void onClosed(PeerConnection source) {
		JobOrigin origin = this.origins.remove(source);
		if (origin != null) {
			this.handler.onClosed(origin);
		}
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
		 * @param origin the gateway and its connection
		 * @param message the message
		 */
		void onMessage(JobOrigin origin, PeerMessage message);

		/**
		 * Called once, after all other calls, when the connection of a gateway is closed.
		 * @param origin the gateway and its connection
		 */
		void onClosed(JobOrigin origin);

	}

}
