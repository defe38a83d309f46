package org.magnoliahub.entry;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import io.netty.channel.Channel;

/**
 * The open connections of a server, in the order of their last use. Beyond a limit the
 * one that was not used for longest is closed, so that new clients are still served.
 */
final class RecentChannels {

	private final int maximum;

	private final Runnable onClosed;

	private final Set<Channel> channels = new LinkedHashSet<>();

	/**
	 * Creates a set without connections.
	 * @param maximum number of connections that are kept
	 * @param onClosed called when a connection is closed to make room
	 */
	RecentChannels(int maximum, Runnable onClosed) {
		this.maximum = maximum;
		this.onClosed = onClosed;
	}

	/**
	 * Adds a connection.
	 * @param channel the connection
	 */
	void add(Channel channel) {
		this.channels.add(channel);
		if (this.channels.size() > this.maximum) {
			Iterator<Channel> oldest = this.channels.iterator();
			Channel closed = oldest.next();
			oldest.remove();
			this.onClosed.run();
			closed.close();
		}
	}

	/**
	 * Records that a connection was used.
	 * @param channel the connection, ignored if it is not kept
	 */
	void use(Channel channel) {
		if (this.channels.remove(channel)) {
			this.channels.add(channel);
		}
	}

	/**
	 * Removes a connection.
	 * @param channel the connection
	 */
	void remove(Channel channel) {
		this.channels.remove(channel);
	}

}
