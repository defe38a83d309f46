package org.magnoliahub.experiment;

import java.util.List;

/**
 * Settings of a run besides the workload, the scheduler and the seed.
 *
 * @param load utilisation of the most heavily loaded pool
 * @param warmupMillis time before measurement starts
 * @param measuredMillis length of measurement
 * @param gateways number of gateways
 * @param faults disturbances
 * @param ignoreCost whether all classes run under the attainment objective
 */
record ExperimentOptions(double load, double warmupMillis, double measuredMillis, int gateways, List<Fault> faults,
		boolean ignoreCost) {

	/** Arrivals continue after the measurement so that its last requests see load. */
	private static final double TAIL_MILLIS = 20_000;

	static ExperimentOptions of(double load) {
		return new ExperimentOptions(load, 15_000, 60_000, 3, List.of(), false);
	}

	ExperimentOptions withWindow(double warmupMillis, double measuredMillis) {
		return new ExperimentOptions(this.load, warmupMillis, measuredMillis, this.gateways, this.faults,
				this.ignoreCost);
	}

	ExperimentOptions withFaults(List<Fault> newFaults) {
		return new ExperimentOptions(this.load, this.warmupMillis, this.measuredMillis, this.gateways, newFaults,
				this.ignoreCost);
	}

	ExperimentOptions withIgnoreCost(boolean newIgnoreCost) {
		return new ExperimentOptions(this.load, this.warmupMillis, this.measuredMillis, this.gateways, this.faults,
				newIgnoreCost);
	}

	double endMillis() {
		return this.warmupMillis + this.measuredMillis;
	}

	double horizonMillis() {
		return endMillis() + TAIL_MILLIS;
	}

	boolean measures(double millis) {
		return millis >= this.warmupMillis && millis < endMillis();
	}

	double highestBurst(String workspace) {
		return this.faults.stream()
			.filter((fault) -> fault.kind() == Fault.Kind.BURST && fault.target().equals(workspace))
			.mapToDouble(Fault::factor)
			.reduce(1, Math::max);
	}

	double burstAt(String workspace, double millis) {
		return this.faults.stream()
			.filter((fault) -> fault.kind() == Fault.Kind.BURST && fault.target().equals(workspace))
			.filter((fault) -> millis >= fault.fromMillis() && millis < fault.toMillis())
			.mapToDouble(Fault::factor)
			.reduce(1, (left, right) -> left * right);
	}

}
