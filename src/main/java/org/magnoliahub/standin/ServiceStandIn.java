package org.magnoliahub.standin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.magnoliahub.model.Arguments;

/**
 * Stand-in for a plain service: any POST runs once and is answered with its run number,
 * its request and its idempotency key; {@code GET /load}, {@code GET /runs} and
 * {@code POST /faults}. A call with a known idempotency key runs again, so that the run
 * log shows calls that callers repeated.
 */
public final class ServiceStandIn implements AutoCloseable {

	private final StandInServer server;

	private ServiceStandIn(long callMs, int slots, int maximumWaiting, long seed) {
		this.server = new StandInServer(slots, maximumWaiting, seed);
		this.server.serve("/*", (context, body, run, faults) -> {
			TimeUnit.MILLISECONDS.sleep(callMs);
			this.server.writeDocument(context, faults, Map.of("run", run.sequence(), "request_id", run.requestId(),
					"idempotency_key", run.idempotencyKey()));
		});
	}

	/**
	 * Starts a stand-in.
	 * @param address local address
	 * @param port local port, 0 for any free port
	 * @param callMs time of one call in milliseconds, at least 0
	 * @param slots calls in execution at once, at least 1
	 * @param maximumWaiting calls that wait for a slot; further calls get status 429
	 * @param seed seed of random faults
	 * @return the stand-in
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public static ServiceStandIn start(String address, int port, long callMs, int slots, int maximumWaiting,
			long seed) {
		Arguments.requireRange(callMs, 0, 3_600_000, "time of a call in ms");
		Arguments.requireRange(slots, 1, 512, "slots");
		Arguments.requireRange(maximumWaiting, 0, 512, "waiting calls");
		ServiceStandIn service = new ServiceStandIn(callMs, slots, maximumWaiting, seed);
		service.server.start(address, port);
		return service;
	}

	/**
	 * Returns the local port.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the runs so far.
	 * @return the runs in order of their start
	 */
	public List<Run> runs() {
		return this.server.runs();
	}

	/**
	 * Sets the faults of further calls.
	 * @param faults the faults
	 */
	public void setFaults(Faults faults) {
		this.server.setFaults(faults);
	}

	/**
	 * Stops the stand-in.
	 */
	@Override
	public void close() {
		this.server.stop();
	}

}
