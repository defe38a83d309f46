package org.magnoliahub.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.magnoliahub.model.Workspace;

/**
 * Requests that wait for an endpoint of one pool, ordered by slack within weighted shares
 * of workspaces. Bounded by the requests that the gateway admits.
 */
final class WaitQueue {

	/**
	 * Requests by which the workspaces together may be ahead of the least served one
	 * before their requests have to wait behind those of others.
	 */
	private static final double ALLOWANCE = 8;

	/** Workspaces looked at in one pass. */
	private static final int MAXIMUM_WORKSPACES = 32;

	/** Workspaces remembered without waiting requests. */
	private static final int MAXIMUM_IDLE_WORKSPACES = 1_024;

	private static final Comparator<WaitingRequest> BY_SLACK = Comparator
		.comparingDouble(WaitingRequest::latestStartMillis)
		.thenComparingLong(WaitingRequest::sequence);

	private final Map<String, WorkspaceShare> shares = new HashMap<>();

	private final List<WorkspaceShare> active = new ArrayList<>();

	private double leastServed;

	private int size;

	private int rotation;

	WorkspaceShare shareOf(Workspace workspace, double now) {
		WorkspaceShare share = this.shares.get(workspace.name());
		if (share == null) {
			if (this.shares.size() >= MAXIMUM_IDLE_WORKSPACES) {
				this.shares.values().removeIf((candidate) -> candidate.isIdle(now));
			}
			share = new WorkspaceShare(workspace);
			share.raiseServed(this.leastServed);
			this.shares.put(workspace.name(), share);
		}
		return share;
	}

	Iterable<WorkspaceShare> shares() {
		return this.shares.values();
	}

	int size() {
		return this.size;
	}

	void add(WaitingRequest request, WorkspaceShare share) {
		if (share.waiting().isEmpty()) {
			this.active.add(share);
			share.raiseServed(this.leastServed);
		}
		share.waiting().add(request);
		this.size++;
	}

	boolean remove(WaitingRequest request, WorkspaceShare share) {
		if (!share.waiting().remove(request)) {
			return false;
		}
		this.size--;
		if (share.waiting().isEmpty()) {
			this.active.remove(share);
		}
		return true;
	}

	/**
	 * Lists the requests to serve next.
	 * @param limit most requests
	 * @param fair whether requests of workspaces beyond their share come last
	 * @param meanCost mean work of a request, which sets the allowance
	 * @return requests in order of service
	 */
	List<WaitingRequest> next(int limit, boolean fair, double meanCost) {
		List<Candidate> candidates = new ArrayList<>();
		int workspaces = Math.min(MAXIMUM_WORKSPACES, this.active.size());
		double least = Double.POSITIVE_INFINITY;
		int weights = 0;
		for (WorkspaceShare share : this.active) {
			least = Math.min(least, share.served());
			weights += share.weight();
		}
		double allowance = ALLOWANCE * meanCost / Math.max(1, weights);
		if (!this.active.isEmpty()) {
			this.leastServed = Math.max(this.leastServed, least);
		}
		for (int i = 0; i < workspaces; i++) {
			WorkspaceShare share = this.active.get((this.rotation + i) % this.active.size());
			boolean beyond = fair && share.served() - least > allowance;
			Iterator<WaitingRequest> iterator = share.waiting().iterator();
			for (int j = 0; j < limit && iterator.hasNext(); j++) {
				candidates.add(new Candidate(iterator.next(), beyond));
			}
		}
		this.rotation = (this.rotation + workspaces) % Math.max(1, this.active.size());
		candidates.sort(Comparator.comparing(Candidate::beyondShare).thenComparing(Candidate::request, BY_SLACK));
		return candidates.stream().limit(limit).map(Candidate::request).toList();
	}

	private record Candidate(WaitingRequest request, boolean beyondShare) {
	}

}
