package org.magnoliahub.routing;

import org.magnoliahub.model.Arguments;

/**
 * Parameters of {@link DeadlineAwareScheduler}. Versions of the policy differ only in
 * their parameters, so that experiments can compare them with the same seeds.
 *
 * @param sampleSize number of endpoints compared per decision, 1 to 16
 * @param lookahead number of waiting requests tried per pass over the queue, 1 to 32
 * @param censored whether the age of slow outstanding attempts counts as a
 * (right-censored) observation of the endpoint's slowdown
 * @param backlogFromWaits whether waiting times of completed attempts correct the
 * estimated load of other gateways, which otherwise comes from load reports only, and old
 * reports lose weight with the execution time
 * @param holding whether a request waits for a faster endpoint without capacity if it is
 * expected to complete earlier there
 * @param fairShares whether weighted shares of workspaces limit admission and order the
 * queue
 * @param finishProbability probability of completion in time below which a request waits
 * while another sampled endpoint is likelier to complete it in time
 * @param tailQuantile quantile of the execution time that is reserved for each remaining
 * stage when the latest start is computed
 * @param overcommit number of attempts sent to an endpoint beyond its estimated slots
 * @param overcommitMillis time for which additional attempts may wait at an endpoint with
 * short executions
 * @param measuredCapacity whether admission corrects the estimated capacity by the
 * throughput measured while requests wait for capacity
 * @param capacityShare share of the estimated capacity that admission commits
 * @param costSlack share of the deadline; a request under the cost objective waits for a
 * cheaper endpoint while its slack is larger, 1 to never wait
 * @param shareTolerance multiple of its share up to which a workspace is admitted even if
 * others have committed the whole pool, 0 to use its share of the capacity that admission
 * commits
 * @param longestGraceMillis maximum tolerance of admission: time that it adds to the time
 * until each latest start, reached while requests start in time
 */
public record SchedulerParameters(int sampleSize, int lookahead, boolean censored, boolean backlogFromWaits,
		boolean holding, boolean fairShares, double finishProbability, double tailQuantile, double overcommit,
		double overcommitMillis, boolean measuredCapacity, double capacityShare, double costSlack,
		double shareTolerance, double longestGraceMillis) {

	/**
	 * Checks the sample size and the lookahead.
	 * @throws IllegalArgumentException if one of them is out of range
	 */
	public SchedulerParameters {
		Arguments.requireRange(sampleSize, 1, EndpointSubset.MAXIMUM_SIZE, "sample size");
		Arguments.requireRange(lookahead, 1, 32, "lookahead");
	}

	/**
	 * Returns the first version of the policy.
	 * @return parameters without censored observations, backlog correction and fair
	 * shares
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
