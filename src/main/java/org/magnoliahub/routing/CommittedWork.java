package org.magnoliahub.routing;

/**
 * Admitted work that has not been sent, by the latest time at which it should start.
 */
final class CommittedWork {

	/** Tolerance of admission, so that an idle pool admits urgent work. */
	static final double GRACE_MILLIS = 20;

	private static final double BUCKET_MILLIS = 250;

	/** The buckets cover 64 s; later work counts in the last bucket ahead. */
	private static final int BUCKETS = 256;

	private final double[] work = new double[BUCKETS];

	private double total;

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
	 * @return excess work, 0 if it fits
	 */
	double excess(double now, double latestStart, double cost, double capacity) {
		long first = (long) Math.floor(now / BUCKET_MILLIS);
		long own = (long) Math.floor(Math.max(now, latestStart) / BUCKET_MILLIS);
		int ahead = BUCKETS * 3 / 4;
		double upcoming = 0;
		for (long i = first; i < first + ahead; i++) {
			upcoming += this.work[(int) Math.floorMod(i, (long) BUCKETS)];
		}
		double before = Math.max(0, this.total - upcoming);
		double worst = 0;
		for (long i = first; i < first + ahead; i++) {
			before += this.work[(int) Math.floorMod(i, (long) BUCKETS)];
			if (i >= own) {
				double time = Math.max(i * BUCKET_MILLIS, (i == own) ? latestStart : 0) - now;
				worst = Math.max(worst, before + cost - capacity * (Math.max(0, time) + GRACE_MILLIS));
			}
		}
		return worst;
	}

	private static int index(double latestStart) {
		return (int) Math.floorMod((long) Math.floor(latestStart / BUCKET_MILLIS), (long) BUCKETS);
	}

}
