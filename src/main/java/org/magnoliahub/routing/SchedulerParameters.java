package org.magnoliahub.routing;

import org.magnoliahub.model.Arguments;

/**
 * Parameters of {@link DeadlineAwareScheduler}. Versions of the policy differ in their
 * parameters only, so that they can be compared on the same seeds.
 *
 * @param sampleSize endpoints compared in one decision, 1 to 16
 * @param lookahead waiting requests that are tried in one pass over the queue, 1 to 32
 * @param censored whether ages of outstanding attempts raise an endpoint's estimate
 * @param backlogFromWaits whether waiting times of completed attempts correct the backlog
 * known from load reports, and old reports lose their effect
 * @param holding whether a request waits for a faster endpoint that frees up early enough
 * @param fairShares whether weighted shares of workspaces bound admission and order the
 * queue
 * @param finishProbability lowest probability of completion in time at which a request is
 * sent to an endpoint while another request could use it
 * @param tailQuantile quantile of execution time that admission and slack reserve
 * @param overcommit attempts sent to an endpoint beyond its estimated slots
 * @param overcommitMillis time for which further attempts may wait at an endpoint with
 * short executions
 * @param measuredCapacity whether admission corrects its capacity estimate by the work
 * that was really sent while requests waited
 * @param capacityShare share of estimated capacity that admission commits
 * @param costSlack share of the deadline beyond which a request under the cost objective
 * uses its slack to wait for a cheaper endpoint, 1 to never wait
 * @param shareTolerance multiple of its share up to which a workspace is admitted even if
 * others have committed the whole pool, 0 to compare demand with the share of the
 * committed capacity
 * @param longestGraceMillis by how much admission overestimates the time until a latest
 * start while requests start in time
 */
public record SchedulerParameters(int sampleSize, int lookahead, boolean censored, boolean backlogFromWaits,
		boolean holding, boolean fairShares, double finishProbability, double tailQuantile, double overcommit,
		double overcommitMillis, boolean measuredCapacity, double capacityShare, double costSlack,
		double shareTolerance, double longestGraceMillis) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public SchedulerParameters {
		Arguments.requireRange(sampleSize, 1, EndpointSubset.MAXIMUM_SIZE, "sample size");
		Arguments.requireRange(lookahead, 1, 32, "lookahead");
	}

	/**
	 * Returns the first version of the policy.
	 * @return parameters without censored observations, holding and fair shares
	 */
	public static SchedulerParameters first() {
		return new SchedulerParameters(3, 1, false, false, false, false, 0, 0.9, 1, 0, false, 1, 1, 0, 20);
	}

	/**
	 * Returns the current version of the policy.
	 * @return the parameters
	 */
	public static SchedulerParameters current() {
		return new SchedulerParameters(8, 8, true, true, false, true, 0.98, 0.98, 2, 40, true, 0.8, 1, 0, 1000);
	}

}
