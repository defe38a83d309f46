package org.magnoliahub.soak;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * A caller whose requests end the endpoint that begins to answer them. They come at any
 * gateway, from a while after the start of the load to its end.
 */
final class CrashingCaller implements Runnable {

	private static final int SHORTEST_PAUSE_MILLIS = 100;

	private static final int LONGEST_PAUSE_MILLIS = 700;

	private final List<GatewayChild> gateways;

	private final Ledger ledger;

	private final RandomGenerator random;

	private final long startMillis;

	private volatile boolean stopped;

	/**
	 * Creates a caller.
	 * @param gateways the gateways
	 * @param ledger learns of the requests
	 * @param seed decides pauses and gateways
	 * @param delayMillis time until the first request
	 */
	CrashingCaller(List<GatewayChild> gateways, Ledger ledger, long seed, long delayMillis) {
		this.gateways = gateways;
		this.ledger = ledger;
		this.random = new SplittableRandom(seed);
		this.startMillis = Ledger.now() + delayMillis;
	}

	void stop() {
		this.stopped = true;
	}

	@Override
	public void run() {
		try {
			Thread.sleep(Math.max(0, this.startMillis - Ledger.now()));
			while (!this.stopped) {
				send();
				Thread.sleep(this.random.nextInt(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void send() {
		int gateway = this.random.nextInt(this.gateways.size());
		try {
			SingleRequest.send(this.gateways.get(gateway), () -> this.ledger.openCrashing(gateway));
		}
		catch (IOException ex) {
			// The gateway is disturbed; the next request may meet another one.
		}
	}

}
