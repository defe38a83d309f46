package org.magnoliahub.routing;

/**
 * Distribution of the execution times of one stage for one request class, normalised to
 * an endpoint with slowdown 1. Older observations have less weight.
 */
final class StageStatistics {

	/** Time without an observation after which the estimates are dropped. */
	private static final double EXPIRY_MILLIS = 15_000;

	/** Eight buckets per doubling; they range from 0.25 ms to about 70 min. */
	private static final int BUCKETS_PER_DOUBLING = 8;

	private static final int BUCKET_COUNT = 24 * BUCKETS_PER_DOUBLING;

	/** Execution times up to this one are in the first bucket. */
	private static final double MINIMUM_MILLIS = 0.25;

	/** Growth of the weight per observation; it doubles after 2,000 observations. */
	private static final double WEIGHT_GROWTH = Math.pow(2, 1.0 / 2000);

	private final double[] bucketWeights = new double[BUCKET_COUNT];

	private double lastObservedAtMillis;

	private double totalWeight;

	private double sumMillis;

	private double sumUnits;

	private double nextWeight = 1;

	private double cachedProbability;

	private double cachedQuantileMillis;

	private int observationsSinceCached;

	/**
	 * Adds the execution time of a completed attempt.
	 * @param nowMillis time of the observation, in milliseconds
	 * @param executionMillis execution time divided by the slowdown of the endpoint
	 * @param units units of work done
	 */
	void add(double nowMillis, double executionMillis, long units) {
		this.lastObservedAtMillis = nowMillis;
		this.bucketWeights[bucketOf(executionMillis)] += this.nextWeight;
		this.totalWeight += this.nextWeight;
		this.sumMillis += this.nextWeight * executionMillis;
		this.sumUnits += this.nextWeight * units;
		this.nextWeight *= WEIGHT_GROWTH;
		this.observationsSinceCached++;
		if (this.nextWeight > 1e12) {
			rescale();
		}
	}

	private void rescale() {
		double scale = 1 / this.nextWeight;
		for (int i = 0; i < BUCKET_COUNT; i++) {
			this.bucketWeights[i] *= scale;
		}
		this.totalWeight *= scale;
		this.sumMillis *= scale;
		this.sumUnits *= scale;
		this.nextWeight = 1;
	}

	boolean isEmpty() {
		return this.totalWeight == 0;
	}

	/**
	 * Returns whether the estimates are too old to be used. Otherwise estimates from a
	 * slow period could refuse all requests, and would never be corrected.
	 * @param nowMillis time in milliseconds
	 * @return whether the estimates must be dropped
	 */
	boolean isStale(double nowMillis) {
		return !isEmpty() && nowMillis - this.lastObservedAtMillis > EXPIRY_MILLIS;
	}

	/**
	 * Returns the mean execution time.
	 * @return milliseconds at slowdown 1, 0 if nothing was observed
	 */
	double meanMillis() {
		return isEmpty() ? 0 : this.sumMillis / this.totalWeight;
	}

	/**
	 * Returns the expected execution time for a known amount of work.
	 * @param units units of work
	 * @return milliseconds at slowdown 1
	 */
	double expectedMillis(long units) {
		return (this.sumUnits == 0) ? meanMillis() : units * this.sumMillis / this.sumUnits;
	}

	/**
	 * Returns a quantile of the execution time. The result is cached for 16 observations,
	 * because admission needs the same quantile for each request.
	 * @param probability the probability of the quantile, 0 to 1
	 * @return milliseconds at slowdown 1, 0 if nothing was observed
	 */
	double quantileMillis(double probability) {
		if (probability == this.cachedProbability && this.observationsSinceCached < 16
				&& this.cachedQuantileMillis > 0) {
			return this.cachedQuantileMillis;
		}
		this.cachedProbability = probability;
		this.observationsSinceCached = 0;
		this.cachedQuantileMillis = computeQuantileMillis(probability);
		return this.cachedQuantileMillis;
	}

	private double computeQuantileMillis(double probability) {
		double remaining = probability * this.totalWeight;
		for (int i = 0; i < BUCKET_COUNT; i++) {
			remaining -= this.bucketWeights[i];
			if (remaining <= 0 && this.bucketWeights[i] > 0) {
				return upperBoundMillis(i);
			}
		}
		return 0;
	}

	/**
	 * Returns the probability that an execution finishes within a time.
	 * @param millis available time, in milliseconds at slowdown 1
	 * @return the probability, 0 to 1; 1 if nothing was observed and time is left
	 */
	double probabilityWithin(double millis) {
		if (millis <= 0) {
			return 0;
		}
		if (isEmpty()) {
			return 1;
		}
		int limit = bucketOf(millis);
		double longerWeight = 0;
		for (int i = BUCKET_COUNT - 1; i > limit; i--) {
			longerWeight += this.bucketWeights[i];
		}
		return 1 - longerWeight / this.totalWeight;
	}

	private static int bucketOf(double millis) {
		if (millis <= MINIMUM_MILLIS) {
			return 0;
		}
		double doublings = Math.log(millis / MINIMUM_MILLIS) / Math.log(2);
		return (int) Math.min(BUCKET_COUNT - 1, doublings * BUCKETS_PER_DOUBLING);
	}

	private static double upperBoundMillis(int bucket) {
		return MINIMUM_MILLIS * Math.pow(2, (bucket + 1) / (double) BUCKETS_PER_DOUBLING);
	}

}
