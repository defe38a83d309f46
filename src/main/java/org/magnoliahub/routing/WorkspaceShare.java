package org.magnoliahub.routing;

import java.util.Comparator;
import java.util.TreeSet;

import org.magnoliahub.model.Workspace;

/**
 * What one workspace uses of one pool: demand, admitted work, served work and waiting
 * requests.
 */
final class WorkspaceShare {

	/** Demand is averaged over this time. */
	private static final double DEMAND_MILLIS = 3_000;

	private final int weight;

	private final TreeSet<WaitingRequest> waiting = new TreeSet<>(
			Comparator.comparingDouble(WaitingRequest::latestStartMillis).thenComparingLong(WaitingRequest::sequence));

	private double demand;

	private double demandAtMillis;

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

	void addDemand(double now, double cost) {
		this.demand = this.demand * Math.exp(-(now - this.demandAtMillis) / DEMAND_MILLIS) + cost;
		this.demandAtMillis = now;
	}

	/**
	 * Returns the demand.
	 * @param now time in milliseconds
	 * @return milliseconds of work at speed factor 1 per millisecond
	 */
	double demand(double now) {
		return this.demand * Math.exp(-(now - this.demandAtMillis) / DEMAND_MILLIS) / DEMAND_MILLIS;
	}

	/**
	 * Returns served work by weight.
	 * @return milliseconds of work at speed factor 1
	 */
	double served() {
		return this.served;
	}

	void serve(double cost) {
		this.served += cost / this.weight;
	}

	/**
	 * Raises served work, so that idle time does not become a claim on later capacity.
	 * @param minimum lower bound
	 */
	void raiseServed(double minimum) {
		this.served = Math.max(this.served, minimum);
	}

	boolean isIdle(double now) {
		return this.waiting.isEmpty() && this.committed.isEmpty() && demand(now) < 1e-3;
	}

}
