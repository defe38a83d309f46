package org.magnoliahub.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.magnoliahub.model.Workspace;

/**
 * Queue of requests that wait for an endpoint of one pool, ordered by latest start within
 * weighted shares of the workspaces. Its size is bounded by the number of requests that
 * the gateway admits.
 */
final class WaitQueue {

	/**
	 * Number of requests by which the waiting workspaces together may be ahead of the
	 * least served one. Requests of a workspace that is further ahead come after those of
	 * others.
	 */
	private static final double MAXIMUM_LEAD_REQUESTS = 8;

	/** Maximum number of workspaces examined per pass. */
	private static final int MAXIMUM_WORKSPACES_PER_PASS = 32;

	/** Number of remembered workspaces at which idle ones are removed. */
	private static final int CLEANUP_THRESHOLD_WORKSPACES = 1_024;

	private static final Comparator<WaitingRequest> BY_LATEST_START = Comparator
		.comparingDouble(WaitingRequest::latestStartMillis)
		.thenComparingLong(WaitingRequest::sequence);

	private final Map<String, WorkspaceShare> shares = new HashMap<>();

	private final List<WorkspaceShare> waitingShares = new ArrayList<>();

	private double minimumServed;

	private int size;

	private int nextOffset;

	WorkspaceShare shareOf(Workspace workspace, double now) {
		WorkspaceShare share = this.shares.get(workspace.name());
		if (share == null) {
			if (this.shares.size() >= CLEANUP_THRESHOLD_WORKSPACES) {
				this.shares.values().removeIf((candidate) -> candidate.isIdle(now));
			}
			share = new WorkspaceShare(workspace);
			share.raiseServed(this.minimumServed);
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
			this.waitingShares.add(share);
			share.raiseServed(this.minimumServed);
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
			this.waitingShares.remove(share);
		}
		return true;
	}

	/**
	 * Lists the requests to dispatch next.
	 * @param limit maximum number of requests
	 * @param fairShares whether requests of workspaces that are ahead of their share come
	 * last
	 * @param meanWorkMillis mean work of a request, in milliseconds at slowdown 1, which
	 * converts the maximum lead from requests to work
	 * @return the requests in the order of dispatch
	 */
	List<WaitingRequest> nextRequests(int limit, boolean fairShares, double meanWorkMillis) {
		List<Candidate> candidates = new ArrayList<>();
		int workspaces = Math.min(MAXIMUM_WORKSPACES_PER_PASS, this.waitingShares.size());
		double minimum = Double.POSITIVE_INFINITY;
		int totalWeight = 0;
		for (WorkspaceShare share : this.waitingShares) {
			minimum = Math.min(minimum, share.served());
			totalWeight += share.weight();
		}
		double maximumLead = MAXIMUM_LEAD_REQUESTS * meanWorkMillis / Math.max(1, totalWeight);
		if (!this.waitingShares.isEmpty()) {
			this.minimumServed = Math.max(this.minimumServed, minimum);
		}
		for (int i = 0; i < workspaces; i++) {
			WorkspaceShare share = this.waitingShares.get((this.nextOffset + i) % this.waitingShares.size());
			boolean aheadOfShare = fairShares && share.served() - minimum > maximumLead;
			Iterator<WaitingRequest> iterator = share.waiting().iterator();
			for (int j = 0; j < limit && iterator.hasNext(); j++) {
				candidates.add(new Candidate(iterator.next(), aheadOfShare));
			}
		}
		this.nextOffset = (this.nextOffset + workspaces) % Math.max(1, this.waitingShares.size());
		candidates
			.sort(Comparator.comparing(Candidate::aheadOfShare).thenComparing(Candidate::request, BY_LATEST_START));
		return candidates.stream().limit(limit).map(Candidate::request).toList();
	}

	private record Candidate(WaitingRequest request, boolean aheadOfShare) {
	}

}
