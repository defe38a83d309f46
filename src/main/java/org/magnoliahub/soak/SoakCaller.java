package org.magnoliahub.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * A caller that sends one request after another, keeps its connection while the gateway
 * does, and now and then gives up.
 */
final class SoakCaller implements Runnable {

	private static final int PATIENCE_MILLIS = 3_000;

	private static final double ABANDON_SHARE = 0.06;

	private static final int SHORTEST_ABANDON_MILLIS = 100;

	private static final int LONGEST_ABANDON_MILLIS = 500;

	private static final int LONGEST_PAUSE_MILLIS = 120;

	private static final double NEW_CONNECTION_SHARE = 0.05;

	private static final double IDLE_SHARE = 0.03;

	/** Four fifths of the time after which gateways close idle connections. */
	private static final int LONGEST_IDLE_MILLIS = 2_400;

	private final List<GatewayChild> gateways;

	private final Ledger ledger;

	private final RandomGenerator random;

	private final Habit habit;

	private volatile boolean stopped;

	private @Nullable Socket socket;

	private int gateway;

	SoakCaller(List<GatewayChild> gateways, Ledger ledger, long seed, Habit habit) {
		this.gateways = gateways;
		this.ledger = ledger;
		this.random = new SplittableRandom(seed);
		this.habit = habit;
	}

	void stop() {
		this.stopped = true;
	}

	@Override
	public void run() {
		while (!this.stopped) {
			send();
			try {
				Thread.sleep(pauseMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
		close();
	}

	private long pauseMillis() {
		if (this.habit == Habit.KEEPS_CONNECTIONS && this.random.nextDouble() < IDLE_SHARE) {
			return this.random.nextInt(LONGEST_IDLE_MILLIS);
		}
		return this.random.nextInt(LONGEST_PAUSE_MILLIS);
	}

	private void send() {
		Socket open = connection();
		if (open == null) {
			return;
		}
		boolean isLong = this.habit == Habit.SENDS_LONG_REQUESTS;
		RequestKind kind = isLong ? RequestKind.LONG : kind(this.random.nextDouble());
		boolean abandons = !isLong && this.random.nextDouble() < ABANDON_SHARE;
		RequestStory story = this.ledger.open(kind, this.gateway);
		try {
			open.setSoTimeout(abandons ? this.random.nextInt(SHORTEST_ABANDON_MILLIS, LONGEST_ABANDON_MILLIS)
					: (int) kind.timeoutMillis() + PATIENCE_MILLIS);
			RawServer.write(open, story.request().text(kind.timeoutMillis() + PATIENCE_MILLIS));
			story.writtenAt(Ledger.now());
			InputStream input = new BufferedInputStream(open.getInputStream());
			CallerAnswer answer = CallerAnswer.read(input);
			// A stream that the caller left is incomplete by its own choice.
			boolean left = abandons && !answer.complete() && answer.status() != 0;
			if (left) {
				story.abandonedAt(Ledger.now());
			}
			else {
				checkNothingFollows(input, story);
				story.answered(answer, Ledger.now());
			}
			closeAfter(answer);
		}
		catch (SocketTimeoutException ex) {
			story.abandonedAt(Ledger.now());
			close();
		}
		catch (IOException ex) {
			story.answered(new CallerAnswer(0, Map.of(), "", false), Ledger.now());
			close();
		}
	}

	private void closeAfter(CallerAnswer answer) {
		boolean leaves = this.habit == Habit.OPENS_CONNECTIONS && this.random.nextDouble() < NEW_CONNECTION_SHARE;
		if (answer.closes() || leaves) {
			close();
		}
	}

	private void checkNothingFollows(InputStream input, RequestStory story) throws IOException {
		if (input.available() > 0) {
			this.ledger.found(Finding.Promise.OWN_ANSWER, "bytes follow the answer of " + story);
			close();
		}
	}

	private static RequestKind kind(double share) {
		if (share < 0.35) {
			return RequestKind.LOOK;
		}
		if (share < 0.65) {
			return RequestKind.ORDER;
		}
		if (share < 0.8) {
			return RequestKind.DRAFT;
		}
		return (share < 0.9) ? RequestKind.ONCE : RequestKind.STAGED;
	}

	private @Nullable Socket connection() {
		if (this.socket != null) {
			return this.socket;
		}
		this.gateway = this.random.nextInt(this.gateways.size());
		try {
			this.socket = this.gateways.get(this.gateway).connect();
		}
		catch (IOException ex) {
			// Nothing listens there for now; the next try may meet another gateway.
			return null;
		}
		return this.socket;
	}

	private void close() {
		Socket open = this.socket;
		this.socket = null;
		if (open == null) {
			return;
		}
		try {
			open.close();
		}
		catch (IOException ex) {
			// The gateway has closed it.
		}
	}

	/**
	 * How a caller uses its connections.
	 */
	enum Habit {

		/** Opens a new connection now and then. */
		OPENS_CONNECTIONS,

		/** Uses a connection until the gateway closes it, also after long pauses. */
		KEEPS_CONNECTIONS,

		/** The same with requests that take seconds. */
		SENDS_LONG_REQUESTS;

		static Habit of(int index) {
			return (index % 2 == 0) ? KEEPS_CONNECTIONS : OPENS_CONNECTIONS;
		}

	}

}
