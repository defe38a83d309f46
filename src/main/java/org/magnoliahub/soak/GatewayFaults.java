package org.magnoliahub.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stops, pauses and kills processes of gateways. Faults of one process wait for each
 * other.
 */
final class GatewayFaults {

	/** A gateway gets this long to stop before it is killed. */
	static final long GRACE_MILLIS = 8_000;

	private static final long TURN_MILLIS = 1_000;

	private static final int STAGED_REQUESTS = 30;

	private static final long JOBS_SUBMITTED_MILLIS = 200;

	private final List<GatewayChild> gateways;

	private final ConfigurationOperator operator;

	private final Ledger ledger;

	private final List<PlannedWork.Stop> stops = new CopyOnWriteArrayList<>();

	private final List<PlannedWork.Reload> reloads = new CopyOnWriteArrayList<>();

	GatewayFaults(List<GatewayChild> gateways, ConfigurationOperator operator, Ledger ledger) {
		this.gateways = gateways;
		this.operator = operator;
		this.ledger = ledger;
	}

	PlannedWork plannedWork() {
		return new PlannedWork(this.stops, this.reloads);
	}

	/**
	 * Tells a gateway to stop and starts it again.
	 * @param index index of the gateway
	 * @throws IOException if it does not become ready again
	 * @throws InterruptedException if the wait is interrupted
	 */
	void stop(int index) throws IOException, InterruptedException {
		GatewayChild gateway = this.gateways.get(index);
		synchronized (gateway) {
			gateway.expectEnd();
			long begun = Ledger.now();
			gateway.signal("TERM");
			if (!gateway.awaitEnd(GRACE_MILLIS)) {
				this.ledger.found(Finding.Promise.PLANNED_STOP, "gateway " + index + " did not end in time");
			}
			this.stops.add(new PlannedWork.Stop(index, begun, Ledger.now()));
			this.ledger.evacuations().recordStart(index, Ledger.now());
			gateway.start();
			gateway.awaitReady();
		}
	}

	/**
	 * Stops all gateways, one a second after the other, and starts each again.
	 * @param first index of the gateway that stops first
	 * @throws InterruptedException if the wait is interrupted
	 */
	void stopInTurn(int first) throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		for (int turn = 0; turn < this.gateways.size(); turn++) {
			int index = (first + turn) % this.gateways.size();
			threads.add(start(() -> stop(index)));
			Thread.sleep(TURN_MILLIS);
		}
		join(threads);
	}

	/**
	 * Pauses a gateway.
	 * @param index index of the gateway
	 * @param lengthMillis length of the pause
	 * @throws IOException if it cannot be signalled
	 * @throws InterruptedException if the wait is interrupted
	 */
	void pause(int index, long lengthMillis) throws IOException, InterruptedException {
		GatewayChild gateway = this.gateways.get(index);
		synchronized (gateway) {
			Disturbances.Span span = this.ledger.disturbances().beginGateway(index);
			gateway.signal("STOP");
			Thread.sleep(lengthMillis);
			gateway.signal("CONT");
			span.end();
		}
	}

	// Waits for a start, since the signal ends a Java process before its program begins.
	void reload(int index) throws IOException, InterruptedException {
		GatewayChild gateway = this.gateways.get(index);
		synchronized (gateway) {
			this.reloads.add(new PlannedWork.Reload(index, Ledger.now()));
			gateway.signal("HUP");
		}
	}

	/**
	 * Kills a gateway and starts it again.
	 * @param index index of the gateway
	 * @throws IOException if it does not become ready again
	 * @throws InterruptedException if the wait is interrupted
	 */
	void kill(int index) throws IOException, InterruptedException {
		GatewayChild gateway = this.gateways.get(index);
		synchronized (gateway) {
			Disturbances.Span span = this.ledger.disturbances().beginGateway(index);
			gateway.expectEnd();
			gateway.signal("KILL");
			gateway.awaitEnd(GRACE_MILLIS);
			this.ledger.evacuations().recordStart(index, Ledger.now());
			gateway.start();
			gateway.awaitReady();
			span.end();
		}
	}

	/**
	 * Kills a gateway twice, each time starts it again, and sends it requests with stages
	 * as soon as it is ready: the second process dies with its first jobs in work, whose
	 * numbers the third one gives out again.
	 * @param index index of the gateway
	 * @throws IOException if it does not become ready again
	 * @throws InterruptedException if the wait is interrupted
	 */
	void killAmidStages(int index) throws IOException, InterruptedException {
		kill(index);
		List<Thread> requests = new ArrayList<>(sendStaged(index));
		Thread.sleep(JOBS_SUBMITTED_MILLIS);
		kill(index);
		requests.addAll(sendStaged(index));
		join(requests);
	}

	private List<Thread> sendStaged(int index) {
		List<Thread> threads = new ArrayList<>();
		for (int request = 0; request < STAGED_REQUESTS; request++) {
			threads.add(start(() -> sendOneStaged(index)));
		}
		return threads;
	}

	private void sendOneStaged(int index) {
		try {
			SingleRequest.send(this.gateways.get(index), () -> this.ledger.open(RequestKind.STAGED, index));
		}
		catch (IOException ex) {
			// The gateway is killed, or another fault disturbs it.
		}
	}

	/**
	 * Kills all gateways at the same moment and starts them again.
	 * @throws InterruptedException if the wait is interrupted
	 */
	void killAll() throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		for (int gateway = 0; gateway < this.gateways.size(); gateway++) {
			int index = gateway;
			threads.add(start(() -> kill(index)));
		}
		join(threads);
	}

	/**
	 * Kills a gateway when the store has acknowledged a change of the configuration.
	 * @param index index of the gateway
	 * @throws IOException if it does not become ready again
	 * @throws InterruptedException if the wait is interrupted
	 */
	void killAfterChange(int index) throws IOException, InterruptedException {
		synchronized (this.gateways.get(index)) {
			this.operator.change();
			kill(index);
		}
	}

	private Thread start(Work work) {
		Thread thread = new Thread(() -> run(work), "soak-gateway-fault");
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private void run(Work work) {
		try {
			work.run();
		}
		catch (IOException ex) {
			this.ledger.found(Finding.Promise.PROCESS_LIFE, "a gateway cannot be started again: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void join(List<Thread> threads) throws InterruptedException {
		for (Thread thread : threads) {
			thread.join();
		}
	}

	/**
	 * Work at one gateway.
	 */
	@FunctionalInterface
	private interface Work {

		void run() throws IOException, InterruptedException;

	}

}
