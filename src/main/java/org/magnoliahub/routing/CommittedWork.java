package org.magnoliahub.routing;

/**
 * Admitted work that has not been sent, by the latest time at which it should start.
 */
final class CommittedWork {

	/** Work further ahead than this counts as if it were this far ahead. */
	private static final double HORIZON_MILLIS = 48_000;

	/** Time that the buckets cover, which leaves room for overdue work. */
	private static final double COVERED_MILLIS = 64_000;

	private final double bucketMillis;

	private final double[] work;

	private double total;

	CommittedWork(double bucketMillis) {
		this.bucketMillis = bucketMillis;
		this.work = new double[(int) (COVERED_MILLIS / bucketMillis)];
	}

	/**
	 * Adds or removes work.
	 * @param latestStart latest start, in milliseconds
	 * @param cost work, negative to remove it
	 */
	void add(double latestStart, double cost) {
		this.work[index(latestStart)] += cost;
		this.total += cost;
	}

	/**
	 * Returns by how much further work would overload the pool. Work fits if for each
	 * later time the work that should start before it does not exceed what the pool can
	 * do until then.
	 * @param now time in milliseconds
	 * @param latestStart latest start of the further work
	 * @param cost the further work
	 * @param capacity work per millisecond
	 * @param graceMillis time added to the time until each latest start
	 * @return excess work, 0 if it fits
	 */
	double excess(double now, double latestStart, double cost, double capacity, double graceMillis) {
		long first = (long) Math.floor(now / this.bucketMillis);
		long own = (long) Math.floor(Math.max(now, latestStart) / this.bucketMillis);
		int ahead = (int) (HORIZON_MILLIS / this.bucketMillis);
		double upcoming = 0;
		for (long i = first; i < first + ahead; i++) {
			upcoming += this.work[(int) Math.floorMod(i, (long) this.work.length)];
		}
		double before = Math.max(0, this.total - upcoming);
		double worst = 0;
		for (long i = first; i < first + ahead; i++) {
			before += this.work[(int) Math.floorMod(i, (long) this.work.length)];
			if (i >= own) {
				double time = Math.max(i * this.bucketMillis, (i == own) ? latestStart : 0) - now;
				worst = Math.max(worst, before + cost - capacity * (Math.max(0, time) + graceMillis));
			}
		}
		return worst;
	}

	boolean isEmpty() {
		return this.total < 1e-6;
	}

	private int index(double latestStart) {
		return (int) Math.floorMod((long) Math.floor(latestStart / this.bucketMillis), (long) this.work.length);
	}

}
