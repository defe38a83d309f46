package org.magnoliahub.routing;

/**
 * Work of admitted stages that have not been sent yet, in buckets by latest start.
 */
final class CommittedWork {

	/**
	 * How far ahead of the current time {@link #excess} checks. It does not check work
	 * that starts later and counts it as overdue for other work.
	 */
	private static final double HORIZON_MILLIS = 48_000;

	/**
	 * Time range of the circular buffer of buckets. The range beyond the horizon holds
	 * overdue work. Latest starts further ahead than the range wrap around.
	 */
	private static final double COVERED_MILLIS = 64_000;

	private final double bucketMillis;

	private final double[] workByBucket;

	private double total;

	CommittedWork(double bucketMillis) {
		this.bucketMillis = bucketMillis;
		this.workByBucket = new double[(int) (COVERED_MILLIS / bucketMillis)];
	}

	/**
	 * Adds or removes work.
	 * @param latestStart latest start, in milliseconds of monotonic time
	 * @param work milliseconds of work at slowdown 1, negative to remove it
	 */
	void add(double latestStart, double work) {
		this.workByBucket[bucketIndex(latestStart)] += work;
		this.total += work;
	}

	/**
	 * Returns by how much additional work would exceed the capacity of the pool. It fits
	 * if, for its latest start and each later bucket, all work with an earlier latest
	 * start can be done in the time until then.
	 * @param now time in milliseconds
	 * @param latestStart latest start of the additional work
	 * @param work the additional work, in milliseconds at slowdown 1
	 * @param capacity capacity of the pool, in milliseconds of work per millisecond
	 * @param toleranceMillis time added to the time until each latest start
	 * @return excess work, 0 if it fits
	 */
	double excess(double now, double latestStart, double work, double capacity, double toleranceMillis) {
		long firstBucket = (long) Math.floor(now / this.bucketMillis);
		long startBucket = (long) Math.floor(Math.max(now, latestStart) / this.bucketMillis);
		int horizonBuckets = (int) (HORIZON_MILLIS / this.bucketMillis);
		double withinHorizon = 0;
		for (long i = firstBucket; i < firstBucket + horizonBuckets; i++) {
			withinHorizon += this.workByBucket[(int) Math.floorMod(i, (long) this.workByBucket.length)];
		}
		double dueWork = Math.max(0, this.total - withinHorizon);
		double maximumExcess = 0;
		for (long i = firstBucket; i < firstBucket + horizonBuckets; i++) {
			dueWork += this.workByBucket[(int) Math.floorMod(i, (long) this.workByBucket.length)];
			if (i >= startBucket) {
				double availableMillis = Math.max(i * this.bucketMillis, (i == startBucket) ? latestStart : 0) - now;
				maximumExcess = Math.max(maximumExcess,
						dueWork + work - capacity * (Math.max(0, availableMillis) + toleranceMillis));
			}
		}
		return maximumExcess;
	}

	boolean isEmpty() {
		return this.total < 1e-6;
	}

	private int bucketIndex(double latestStart) {
		return (int) Math.floorMod((long) Math.floor(latestStart / this.bucketMillis), (long) this.workByBucket.length);
	}

}
