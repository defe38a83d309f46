package org.magnoliahub.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;

import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * Asks a gateway again and again for a route or with a key that only some versions of the
 * configuration have.
 */
final class VersionProbe implements Runnable {

	/** No multiple of the periods of timers, so that probes meet all of their phases. */
	private static final int INTERVAL_MILLIS = 173;

	private static final int ANSWER_MILLIS = 2_500;

	/** Older versions that are asked for by turns, since a gateway may be far behind. */
	private static final int REMOVED_VERSIONS = 4;

	private final Kind kind;

	private final int index;

	private final GatewayChild gateway;

	private final Ledger ledger;

	private volatile boolean stopped;

	private int count;

	VersionProbe(Kind kind, int index, GatewayChild gateway, Ledger ledger) {
		this.kind = kind;
		this.index = index;
		this.gateway = gateway;
		this.ledger = ledger;
	}

	void stop() {
		this.stopped = true;
	}

	@Override
	public void run() {
		while (!this.stopped) {
			try {
				Thread.sleep(INTERVAL_MILLIS);
				probe();
			}
			catch (IOException ex) {
				// The gateway is down or paused, which other checks judge.
				continue;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	// The version that is due shows answers by older ones, and the newest one shows
	// configurations that go back.
	private void probe() throws IOException {
		this.count++;
		ConfigurationVersions versions = this.ledger.configurations().versions();
		int present = (this.count % 2 == 0) ? versions.newest()
				: versions.newestAccepted(Ledger.now() - ConfigurationCheck.IN_FORCE_MILLIS);
		int removed = present - ConfigurationVersions.KEPT - this.count / 2 % REMOVED_VERSIONS;
		int version = this.kind.added ? present : removed;
		if (version < 0) {
			return;
		}
		int incarnation = this.gateway.incarnation();
		RequestStory story = ask(version);
		if (incarnation == this.gateway.incarnation()) {
			this.ledger.configurations().add(new ConfigurationCheck.Probe(story, version, incarnation));
		}
	}

	private RequestStory ask(int version) throws IOException {
		String prefix = this.kind.key ? RequestKind.LOOK.prefix() : ConfigurationVersions.prefix(version);
		String key = this.kind.key ? ConfigurationVersions.key(version) : EmulatedSettings.KEY;
		try (Socket socket = this.gateway.connect()) {
			socket.setSoTimeout(ANSWER_MILLIS);
			RequestStory story = this.ledger.openShort(prefix, key, this.index);
			try {
				RawServer.write(socket, story.request().text(ANSWER_MILLIS));
				story.writtenAt(Ledger.now());
				CallerAnswer answer = CallerAnswer.read(new BufferedInputStream(socket.getInputStream()));
				story.answered(answer, Ledger.now());
			}
			catch (SocketTimeoutException ex) {
				story.abandonedAt(Ledger.now());
			}
			catch (IOException ex) {
				story.answered(new CallerAnswer(0, Map.of(), "", false), Ledger.now());
			}
			return story;
		}
	}

	/**
	 * What is asked for.
	 */
	enum Kind {

		/** A route that is there. */
		ADDED_ROUTE(true, false),

		/** A key that is there. */
		ADDED_KEY(true, true),

		/** A route that was taken away. */
		REMOVED_ROUTE(false, false),

		/** A key that was taken away. */
		REMOVED_KEY(false, true);

		private final boolean added;

		private final boolean key;

		Kind(boolean added, boolean key) {
			this.added = added;
			this.key = key;
		}

	}

}
