package org.magnoliahub.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * One request of a run, fixed before the run so that all schedulers see the same
 * arrivals.
 *
 * @param millis time of arrival
 * @param load its class
 * @param tenant its workspace
 * @param gateway index of its gateway
 * @param units work of each stage
 * @param prefix hash of its prompt prefix
 */
record Arrival(double millis, Workload.ClassLoad load, Workload.Tenant tenant, int gateway, double[] units,
		long prefix) {

	/** Prompt prefixes that one workspace uses. */
	private static final int PREFIXES_PER_WORKSPACE = 6;

	static List<Arrival> generate(Workload workload, ExperimentOptions options, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		double factor = workload.rateFactor(options.load());
		List<Arrival> arrivals = new ArrayList<>();
		for (Workload.ClassLoad load : workload.classes()) {
			for (Workload.Tenant tenant : workload.workspaces()) {
				generate(workload, options, load, tenant, factor, random.split(), arrivals);
			}
		}
		arrivals.sort(Comparator.comparingDouble(Arrival::millis));
		return arrivals;
	}

	private static void generate(Workload workload, ExperimentOptions options, Workload.ClassLoad load,
			Workload.Tenant tenant, double factor, SplittableRandom random, List<Arrival> arrivals) {
		Workload.Burst burst = load.burst();
		double mean = load.rate() * factor * tenant.share() / 1000;
		double quiet = mean * Math.max(0, 1 - burst.share() * burst.factor()) / (1 - burst.share());
		double quietMillis = burst.millis() * (1 - burst.share()) / burst.share();
		double highest = mean * burst.factor() * options.highestBurst(tenant.name());
		boolean bursting = random.nextDouble() < burst.share();
		double change = exponential(random, bursting ? burst.millis() : quietMillis);
		double now = 0;
		while (true) {
			now += exponential(random, 1 / highest);
			if (now > options.horizonMillis()) {
				return;
			}
			while (now > change) {
				bursting = !bursting;
				change += exponential(random, bursting ? burst.millis() : quietMillis);
			}
			double rate = (bursting ? mean * burst.factor() : quiet) * options.burstAt(tenant.name(), now);
			if (random.nextDouble() * highest < rate) {
				double[] units = load.stages().stream().mapToDouble((stage) -> stage.units(random)).toArray();
				long prefix = 31L * tenant.name().hashCode() + 7L * load.name().hashCode()
						+ random.nextInt(PREFIXES_PER_WORKSPACE);
				arrivals.add(new Arrival(now, load, tenant, random.nextInt(options.gateways()), units, prefix));
			}
		}
	}

	private static double exponential(SplittableRandom random, double mean) {
		return -Math.log(1 - random.nextDouble()) * mean;
	}

}
