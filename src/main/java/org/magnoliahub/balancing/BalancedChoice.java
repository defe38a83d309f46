package org.magnoliahub.balancing;

import java.util.List;

/**
 * Chooses a server so that many gateways with outdated reports together load the servers
 * in proportion to their speed.
 * <p>
 * Each server gets a share of the requests in proportion to its capacity, plus or minus a
 * correction that removes the deviation of its utilization from the mean within the time
 * that the reports are old. All gateways see about the same deviation, so the correction
 * is related to the requests of all of them, not only to those of this gateway. The older
 * the reports are, the closer the shares are to the capacities. A server is drawn with a
 * probability that grows with what it lacks of its share of this gateway's recent
 * requests, so that gateways with equal views do not choose alike, and the requests of
 * one gateway spread more evenly than by independent draws.
 */
public final class BalancedChoice {

	/**
	 * Part of the deviation that is corrected. The load follows the mean too slowly with
	 * less, and with more gateways that see the same deviation correct it repeatedly.
	 */
	private static final double CORRECTION = 1;

	/**
	 * Time constant with which the requests of others in a report are replaced by the
	 * mean of all servers.
	 */
	private static final double REPORT_TIME_MILLIS = 3_000;

	/** Minimum time in which deviations are corrected, about that of a response. */
	private static final double MINIMUM_HORIZON_MILLIS = 100;

	/** Maximum time in which deviations are corrected. */
	private static final double MAXIMUM_HORIZON_MILLIS = 1_000;

	/**
	 * Part of the delay at full load by which other costs may differ between servers that
	 * are equally preferred. Those of another zone or a missing prompt prefix are higher.
	 */
	private static final double EQUAL_COST = 0.02;

	/**
	 * Part of the delay at full load by which a server must be cheaper than the preferred
	 * ones to be fully preferred, too.
	 */
	private static final double FULL_PREFERENCE = 0.25;

	/**
	 * Limit of what the recent requests add to the exponent of the draw. A fixed exponent
	 * of 2 gave small servers 0.4 of their share from gateways that send rarely.
	 */
	private static final double MAXIMUM_SHARPNESS = 6;

	private final List<Candidate> candidates;

	private final LoadCost loadCost;

	private final int gatewayCount;

	private BalancedChoice(List<Candidate> candidates, LoadCost loadCost, int gatewayCount) {
		this.candidates = candidates;
		this.loadCost = loadCost;
		this.gatewayCount = gatewayCount;
	}

	/**
	 * Chooses a server.
	 * @param candidates the servers, at least one
	 * @param loadCost delay by the load of a server
	 * @param gatewayCount number of gateways, including this one
	 * @param random random number from 0, inclusive, to 1, exclusive
	 * @return the choice
	 */
	public static Result choose(List<Candidate> candidates, LoadCost loadCost, int gatewayCount, double random) {
		return new BalancedChoice(candidates, loadCost, gatewayCount).choose(random);
	}

	private Result choose(double random) {
		double[] utilizations = utilizations();
		double[] preferences = preferences(utilizations);
		double[] shares = shares(utilizations, preferences);
		int index = draw(lacking(shares), random);
		return new Result(index, totalMillis(index, utilizations));
	}

	private double[] utilizations() {
		double othersPerSlot = othersPerSlot();
		double[] utilizations = new double[this.candidates.size()];
		for (int index = 0; index < utilizations.length; index++) {
			Candidate candidate = this.candidates.get(index);
			double weight = reportWeight(candidate);
			double others = weight * candidate.otherRequests() + (1 - weight) * othersPerSlot * candidate.slots();
			utilizations[index] = (candidate.ownRequests() + others) / candidate.slots();
		}
		return utilizations;
	}

	// Without reports, each other gateway is assumed to have sent as much as this one.
	private double othersPerSlot() {
		double own = 0;
		double slots = 0;
		double others = 0;
		double reportedSlots = 0;
		for (Candidate candidate : this.candidates) {
			double weight = reportWeight(candidate);
			own += candidate.ownRequests();
			slots += candidate.slots();
			others += weight * candidate.otherRequests();
			reportedSlots += weight * candidate.slots();
		}
		return (reportedSlots > 0) ? others / reportedSlots : own * (this.gatewayCount - 1) / slots;
	}

	private static double reportWeight(Candidate candidate) {
		return Math.exp(-candidate.ageMillis() / REPORT_TIME_MILLIS);
	}

	// Is 1 for servers with about the lowest other cost. For the rest it is 0 unless the
	// load makes each of these more expensive, and then increases with the difference,
	// because gateways that all changed their choice at one limit would do so in turn.
	private double[] preferences(double[] utilizations) {
		double limit = lowestCost() + EQUAL_COST * this.loadCost.millisToFull();
		double lowestTotal = Double.MAX_VALUE;
		for (int index = 0; index < utilizations.length; index++) {
			if (this.candidates.get(index).costMillis() <= limit) {
				lowestTotal = Math.min(lowestTotal, totalMillis(index, utilizations));
			}
		}
		double[] preferences = new double[utilizations.length];
		for (int index = 0; index < utilizations.length; index++) {
			double saved = lowestTotal - totalMillis(index, utilizations);
			preferences[index] = (this.candidates.get(index).costMillis() <= limit) ? 1
					: Math.max(0, Math.min(1, saved / (FULL_PREFERENCE * this.loadCost.millisToFull())));
		}
		return preferences;
	}

	private double totalMillis(int index, double[] utilizations) {
		return this.candidates.get(index).costMillis() + this.loadCost.millis(utilizations[index]);
	}

	private double lowestCost() {
		double lowest = Double.MAX_VALUE;
		for (Candidate candidate : this.candidates) {
			lowest = Math.min(lowest, candidate.costMillis());
		}
		return lowest;
	}

	private double[] shares(double[] utilizations, double[] preferences) {
		double lowestCost = lowestCost();
		double[] effective = new double[utilizations.length];
		double requests = 0;
		double slots = 0;
		double capacity = 0;
		for (int index = 0; index < utilizations.length; index++) {
			Candidate candidate = this.candidates.get(index);
			effective[index] = this.loadCost.utilization(totalMillis(index, utilizations) - lowestCost);
			if (preferences[index] > 0) {
				requests += candidate.slots() * effective[index];
				slots += candidate.slots();
				capacity += preferences[index] * candidate.capacity();
			}
		}
		double expected = expectedRequests(preferences);
		double[] shares = new double[utilizations.length];
		double sum = 0;
		for (int index = 0; index < shares.length; index++) {
			if (preferences[index] > 0) {
				Candidate candidate = this.candidates.get(index);
				double missing = candidate.slots() * (requests / slots - effective[index]);
				shares[index] = Math.max(0,
						expected * preferences[index] * candidate.capacity() / capacity + CORRECTION * missing);
				sum += shares[index];
			}
		}
		for (int index = 0; index < shares.length; index++) {
			shares[index] /= sum;
		}
		return shares;
	}

	// Requests that all gateways send to the preferred servers within the mean age of
	// their reports. The rate of this gateway stands for that of the others.
	private double expectedRequests(double[] preferences) {
		double ages = 0;
		double sent = 0;
		int count = 0;
		for (int index = 0; index < preferences.length; index++) {
			if (preferences[index] > 0) {
				ages += Math.min(MAXIMUM_HORIZON_MILLIS, this.candidates.get(index).ageMillis());
				sent += this.candidates.get(index).recentlySent();
				count++;
			}
		}
		double horizon = MINIMUM_HORIZON_MILLIS + ages / count;
		return this.gatewayCount * Math.max(1, horizon * sent / LoadTracker.SENT_TIME_MILLIS);
	}

	private double[] lacking(double[] shares) {
		double sent = 0;
		int servers = 0;
		for (int index = 0; index < shares.length; index++) {
			if (shares[index] > 0) {
				sent += this.candidates.get(index).recentlySent();
				servers++;
			}
		}
		// Without recent requests, only a draw in proportion to the shares is even. With
		// many, a higher exponent follows the shares more closely. The tolerance keeps
		// small differences between shares from deciding for all gateways alike.
		double tolerance = sent / (sent + servers);
		double exponent = 1 + MAXIMUM_SHARPNESS * tolerance;
		double[] lacking = new double[shares.length];
		for (int index = 0; index < shares.length; index++) {
			if (shares[index] > 0) {
				double lack = shares[index] * (sent + 1) - this.candidates.get(index).recentlySent();
				lacking[index] = (lack > 0) ? Math.pow(lack + tolerance, exponent) : 0;
			}
		}
		return lacking;
	}

	private static int draw(double[] weights, double random) {
		double sum = 0;
		for (double weight : weights) {
			sum += weight;
		}
		double position = random * sum;
		int last = 0;
		for (int index = 0; index < weights.length; index++) {
			if (weights[index] > 0) {
				last = index;
				position -= weights[index];
				if (position < 0) {
					return index;
				}
			}
		}
		return last;
	}

	/**
	 * A chosen server.
	 *
	 * @param index index of the server in the list of candidates
	 * @param costMillis expected time to a response with the effect of the load, in
	 * milliseconds
	 */
	public record Result(int index, double costMillis) {
	}

}
