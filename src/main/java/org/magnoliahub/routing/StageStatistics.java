package org.magnoliahub.routing;

/**
 * Distribution of the execution time of one stage, normalised to an endpoint of speed
 * factor 1. Old observations lose weight.
 */
final class StageStatistics {

	/** Estimates are dropped after this time without an observation. */
	private static final double LONGEST_SILENCE_MILLIS = 15_000;

	/** Eight buckets per doubling, from 0.25 ms to about 70 min. */
	private static final int BUCKETS_PER_DOUBLING = 8;

	private static final int BUCKETS = 24 * BUCKETS_PER_DOUBLING;

	private static final double SMALLEST_MILLIS = 0.25;

	/** Observations keep half of their weight after this many further ones. */
	private static final double GROWTH = Math.pow(2, 1.0 / 2000);

	private final double[] weights = new double[BUCKETS];

	private double observedAtMillis;

	private double weight;

	private double sumMillis;

	private double sumUnits;

	private double nextWeight = 1;

	private double cachedQuantile;

	private double cachedQuantileMillis;

	private int sinceCached;

	/**
	 * Adds a completed execution.
	 * @param nowMillis time of the observation, in milliseconds
	 * @param millis execution time divided by the speed factor of the endpoint
	 * @param units work
	 */
	void add(double nowMillis, double millis, long units) {
		this.observedAtMillis = nowMillis;
		this.weights[bucketOf(millis)] += this.nextWeight;
		this.weight += this.nextWeight;
		this.sumMillis += this.nextWeight * millis;
		this.sumUnits += this.nextWeight * units;
		this.nextWeight *= GROWTH;
		this.sinceCached++;
		if (this.nextWeight > 1e12) {
			rescale();
		}
	}

	private void rescale() {
		double scale = 1 / this.nextWeight;
		for (int i = 0; i < BUCKETS; i++) {
			this.weights[i] *= scale;
		}
		this.weight *= scale;
		this.sumMillis *= scale;
		this.sumUnits *= scale;
		this.nextWeight = 1;
	}

	boolean isEmpty() {
		return this.weight == 0;
	}

	/**
	 * Returns whether nothing was observed for long. Estimates from a slow period would
	 * otherwise refuse all requests and so never be corrected.
	 * @param nowMillis time in milliseconds
	 * @return whether the estimates are to be dropped
	 */
	boolean isStale(double nowMillis) {
		return !isEmpty() && nowMillis - this.observedAtMillis > LONGEST_SILENCE_MILLIS;
	}

	/**
	 * Returns the mean.
	 * @return milliseconds at speed factor 1, 0 if nothing was observed
	 */
	double mean() {
		return isEmpty() ? 0 : this.sumMillis / this.weight;
	}

	/**
	 * Returns the expected execution time for known work.
	 * @param units the work
	 * @return milliseconds at speed factor 1
	 */
	double expected(long units) {
		return (this.sumUnits == 0) ? mean() : units * this.sumMillis / this.sumUnits;
	}

	/**
	 * Returns a quantile. It is computed again after every 16th observation or for
	 * another share, because admission asks for the same one on each request.
	 * @param share the share, 0 to 1
	 * @return milliseconds at speed factor 1, 0 if nothing was observed
	 */
	double quantile(double share) {
		if (share == this.cachedQuantile && this.sinceCached < 16 && this.cachedQuantileMillis > 0) {
			return this.cachedQuantileMillis;
		}
		this.cachedQuantile = share;
		this.sinceCached = 0;
		this.cachedQuantileMillis = computeQuantile(share);
		return this.cachedQuantileMillis;
	}

	private double computeQuantile(double share) {
		double remaining = share * this.weight;
		for (int i = 0; i < BUCKETS; i++) {
			remaining -= this.weights[i];
			if (remaining <= 0 && this.weights[i] > 0) {
				return upperBound(i);
			}
		}
		return 0;
	}

	/**
	 * Returns the probability that an execution ends in time.
	 * @param millis available time at speed factor 1
	 * @return 0 to 1; 1 if nothing was observed and time is left
	 */
	double probabilityWithin(double millis) {
		if (millis <= 0) {
			return 0;
		}
		if (isEmpty()) {
			return 1;
		}
		int limit = bucketOf(millis);
		double longer = 0;
		for (int i = BUCKETS - 1; i > limit; i--) {
			longer += this.weights[i];
		}
		return 1 - longer / this.weight;
	}

	private static int bucketOf(double millis) {
		if (millis <= SMALLEST_MILLIS) {
			return 0;
		}
		double doublings = Math.log(millis / SMALLEST_MILLIS) / Math.log(2);
		return (int) Math.min(BUCKETS - 1, doublings * BUCKETS_PER_DOUBLING);
	}

	private static double upperBound(int bucket) {
		return SMALLEST_MILLIS * Math.pow(2, (bucket + 1) / (double) BUCKETS_PER_DOUBLING);
	}

}
