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
 * The link from this gateway to another one that may form calls for it. It opens again by
 * itself; silence counts as loss.
 */
final class PeerLink implements PeerConnection.Listener {

	/** Longest time without a heartbeat. */
	static final long SILENCE_MILLIS = 900;

	private static final int CONNECT_MILLIS = 700;

	private static final long RETRY_MILLIS = 500;

	private final EventLoopGroup group;

	private final Timers timers;

	private final EntryLog log;

	private final String ownName;

	private final Handler handler;

	private MemberRecord member;

	private @Nullable PeerConnection connection;

	private boolean connecting;

	private boolean open;

	private long lastHeard;

	private long lastTry = Long.MIN_VALUE / 2;

	private long lastCheck;

	private final Map<String, StageLoad> loads = new HashMap<>();

	PeerLink(EventLoopGroup group, Timers timers, EntryLog log, String ownName, MemberRecord member, Handler handler) {
		this.group = group;
		this.timers = timers;
		this.log = log;
		this.ownName = ownName;
		this.member = member;
		this.handler = handler;
		this.lastCheck = timers.milliTime();
	}

	void update(MemberRecord newer) {
		boolean moved = !newer.address().equals(this.member.address());
		this.member = newer;
		if (moved) {
			lose("address changed");
		}
	}

	boolean isOpen() {
		return this.open;
	}

	/**
	 * Returns the state of a queue of the other gateway.
	 * @param service the stage's service
	 * @return the state, as of the last heartbeat
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
	 * Opens the link if it is closed, and closes it if the other gateway is silent.
	 */
	void maintain() {
		long now = this.timers.milliTime();
		boolean paused = now - this.lastCheck > SILENCE_MILLIS / 2;
		this.lastCheck = now;
		if (paused) {
			// This process stood still; heartbeats may still be unread.
			this.lastHeard = now;
		}
		if (this.open && now - this.lastHeard > SILENCE_MILLIS) {
			lose("silent");
		}
		if (!this.open && !this.connecting && now - this.lastTry >= RETRY_MILLIS) {
			connect(now);
		}
	}

	void close() {
		lose("not needed");
	}

	private void connect(long now) {
		this.lastTry = now;
		PeerConnection opening = new PeerConnection(this);
		this.connecting = true;
		try {
			Channels.connect(this.group, HostPort.parse(this.member.address()), CONNECT_MILLIS, opening::install)
				.addListener((result) -> {
					this.connecting = false;
					if (result.isSuccess()) {
						opened(opening);
					}
				});
		}
		catch (PlatformFormatException ex) {
			this.connecting = false;
		}
	}

	private void opened(PeerConnection opening) {
		this.connection = opening;
		this.lastHeard = this.timers.milliTime();
		opening.send(new PeerMessage.Hello(this.ownName));
	}

	@Override
	public void onMessage(PeerConnection source, PeerMessage message) {
		if (source != this.connection) {
			return;
		}
		this.lastHeard = this.timers.milliTime();
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			this.loads.clear();
			this.loads.putAll(heartbeat.loads());
			if (!this.open) {
				this.open = true;
				logState("open", "");
			}
			return;
		}
		if (message instanceof PeerMessage.Result result) {
			this.handler.onResult(result);
		}
	}

	@Override
	public void onClosed(PeerConnection source) {
		if (source == this.connection) {
			lose("closed");
		}
	}

	private void lose(String reason) {
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
	 * Hears about the link.
	 */
	interface Handler {

		/**
		 * Called with the result of a piece.
		 * @param result the result
		 */
		void onResult(PeerMessage.Result result);

		/**
		 * Called when the link was lost.
		 * @param member name of the other gateway
		 */
		void onLost(String member);

	}

}
