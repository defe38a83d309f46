package org.magnoliahub.entry;

import java.util.HashMap;
import java.util.Map;

import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.HostPort;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.serving.StageLoad;
import org.magnoliahub.time.Timers;

/**
 * The link to a gateway that can batch stage calls for this one. It reconnects by itself
 * and is closed if heartbeats stop.
 */
final class PeerLink implements PeerConnection.Listener {

	/** Time without a message after which the link is closed. */
	static final long HEARTBEAT_TIMEOUT_MILLIS = 900;

	private static final int CONNECT_TIMEOUT_MILLIS = 700;

	private static final long RECONNECT_INTERVAL_MILLIS = 500;

	private final EventLoopGroup group;

	private final Timers timers;

	private final EntryLog log;

	private final String selfName;

	private final Handler handler;

	private MemberRecord member;

	private @Nullable PeerConnection connection;

	private boolean connecting;

	private boolean open;

	private long lastReceived;

	private long lastConnect = Long.MIN_VALUE / 2;

	private long lastMaintenance;

	private final Map<String, StageLoad> loads = new HashMap<>();

	PeerLink(EventLoopGroup group, Timers timers, EntryLog log, String selfName, MemberRecord member, Handler handler) {
		this.group = group;
		this.timers = timers;
		this.log = log;
		this.selfName = selfName;
		this.member = member;
		this.handler = handler;
		this.lastMaintenance = timers.milliTime();
	}

	void update(MemberRecord newer) {
		boolean addressChanged = !newer.address().equals(this.member.address());
		this.member = newer;
		if (addressChanged) {
			disconnect("address changed");
		}
	}

	boolean isOpen() {
		return this.open;
	}

	/**
	 * Returns the load of a stage queue of the other gateway.
	 * @param service the stage's service
	 * @return the load in the last heartbeat
	 */
	StageLoad load(String service) {
		return this.loads.getOrDefault(service, StageLoad.UNKNOWN);
	}

	void send(PeerMessage message) {
		if (this.connection != null) {
			this.connection.send(message);
		}
	}

	/**
	 * Closes the link after the heartbeat timeout, and reconnects it if it is closed.
	 * Must be called periodically.
	 */
	void maintain() {
		long now = this.timers.milliTime();
		boolean stalled = now - this.lastMaintenance > HEARTBEAT_TIMEOUT_MILLIS / 2;
		this.lastMaintenance = now;
		if (stalled) {
			// This process was stalled, so that heartbeats may have arrived but not been
			// read.
			this.lastReceived = now;
		}
		if (this.open && now - this.lastReceived > HEARTBEAT_TIMEOUT_MILLIS) {
			disconnect("silent");
		}
		if (!this.open && !this.connecting && now - this.lastConnect >= RECONNECT_INTERVAL_MILLIS) {
			connect(now);
		}
	}

	void close() {
		disconnect("not needed");
	}

	private void connect(long now) {
		this.lastConnect = now;
		PeerConnection opening = new PeerConnection(this);
		this.connecting = true;
		try {
			Channels
				.connect(this.group, HostPort.parse(this.member.address()), CONNECT_TIMEOUT_MILLIS, opening::install)
				.addListener((result) -> {
					this.connecting = false;
					if (result.isSuccess()) {
						onConnected(opening);
					}
				});
		}
		catch (PlatformFormatException ex) {
			this.connecting = false;
		}
	}

	private void onConnected(PeerConnection opening) {
		this.connection = opening;
		this.lastReceived = this.timers.milliTime();
		opening.send(new PeerMessage.Hello(this.selfName));
	}

	@Override
	public void onMessage(PeerConnection source, PeerMessage message) {
		if (source != this.connection) {
			return;
		}
		this.lastReceived = this.timers.milliTime();
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			this.loads.clear();
			this.loads.putAll(heartbeat.loads());
			if (!this.open) {
				this.open = true;
				logState("open", "");
			}
			this.handler.onConfigurationVersion(this, heartbeat.configurationVersion());
			return;
		}
		if (message instanceof PeerMessage.Configuration configuration) {
			this.handler.onConfiguration(this.member.name(), configuration.content());
		}
		if (message instanceof PeerMessage.Result result) {
			this.handler.onResult(result);
		}
	}

	@Override
	public void onClosed(PeerConnection source) {
		if (source == this.connection) {
			disconnect("closed");
		}
	}

	private void disconnect(String reason) {
		PeerConnection lost = this.connection;
		this.connection = null;
		if (lost != null) {
			lost.close();
		}
		if (this.open) {
			this.open = false;
			logState("lost", reason);
			this.handler.onLost(this.member.name());
		}
	}

	private void logState(String state, String reason) {
		this.log.event(EntryEvent.LINK_CHANGED)
			.field("member", this.member.name())
			.field("state", state)
			.field("reason", reason)
			.write();
	}

	/**
	 * Receives the events of a link.
	 */
	interface Handler {

		/**
		 * Called with the result of a piece.
		 * @param result the result
		 */
		void onResult(PeerMessage.Result result);

		/**
		 * Called with the version of the configuration that the other gateway uses.
		 * @param link the link
		 * @param version the version, zero if it is unknown
		 */
		void onConfigurationVersion(PeerLink link, long version);

		/**
		 * Called with the configuration of another gateway.
		 * @param member name of that gateway
		 * @param content the configuration as it was stored
		 */
		void onConfiguration(String member, byte[] content);

		/**
		 * Called when an open link was closed.
		 * @param member name of the other gateway
		 */
		void onLost(String member);

	}

}
