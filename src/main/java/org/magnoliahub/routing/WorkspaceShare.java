package org.magnoliahub.routing;

import java.util.Comparator;
import java.util.TreeSet;

import org.magnoliahub.model.Workspace;

/**
 * Use of one pool by one workspace: demand, committed work, served work and waiting
 * requests.
 */
final class WorkspaceShare {

	/** Time constant of the moving average of the demand. */
	private static final double DEMAND_DECAY_MILLIS = 3_000;

	private final int weight;

	private final TreeSet<WaitingRequest> waiting = new TreeSet<>(
			Comparator.comparingDouble(WaitingRequest::latestStartMillis).thenComparingLong(WaitingRequest::sequence));

	private double demand;

	private double demandUpdatedAtMillis;

	private final CommittedWork committed = new CommittedWork(1_000);

	private double served;

	WorkspaceShare(Workspace workspace) {
		this.weight = workspace.weight();
	}

	int weight() {
		return this.weight;
	}

	TreeSet<WaitingRequest> waiting() {
		return this.waiting;
	}

	CommittedWork committed() {
		return this.committed;
	}

	void addDemand(double now, double workMillis) {
		this.demand = this.demand * Math.exp(-(now - this.demandUpdatedAtMillis) / DEMAND_DECAY_MILLIS) + workMillis;
		this.demandUpdatedAtMillis = now;
	}

	/**
	 * Returns the mean demand of the recent past.
	 * @param now time in milliseconds
	 * @return milliseconds of work at slowdown 1 per millisecond
	 */
	double demand(double now) {
		return this.demand * Math.exp(-(now - this.demandUpdatedAtMillis) / DEMAND_DECAY_MILLIS) / DEMAND_DECAY_MILLIS;
	}

	/**
	 * Returns the served work divided by the weight of the workspace.
	 * @return milliseconds of work at slowdown 1
	 */
	double served() {
		return this.served;
	}

	void addServed(double workMillis) {
		this.served += workMillis / this.weight;
	}

	/**
	 * Raises the served work to a minimum, so that a workspace that was idle does not get
	 * more than its share afterwards.
	 * @param minimum minimum of the served work, divided by the weight
	 */
	void raiseServed(double minimum) {
		this.served = Math.max(this.served, minimum);
	}

	boolean isIdle(double now) {
		return this.waiting.isEmpty() && this.committed.isEmpty() && demand(now) < 1e-3;
	}

}
