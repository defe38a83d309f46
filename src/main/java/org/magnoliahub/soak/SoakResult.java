package org.magnoliahub.soak;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Outcome of one run.
 *
 * @param plan its faults
 * @param requests number of requests
 * @param served requests that got their whole answer
 * @param findings broken promises
 */
record SoakResult(FaultPlan plan, long requests, long served, List<Finding> findings) {

	SoakResult {
		findings = List.copyOf(findings);
	}

	/**
	 * Returns the outcome in a line, with a line for each broken promise.
	 * @return text for people
	 */
	String report() {
		Map<Finding.Promise, Integer> counts = new EnumMap<>(Finding.Promise.class);
		StringBuilder details = new StringBuilder();
		for (Finding finding : this.findings) {
			if (counts.merge(finding.promise(), 1, Integer::sum) <= 3) {
				details.append("\n  ").append(finding.promise()).append(": ").append(finding.detail());
			}
		}
		return "seed " + this.plan.seed() + ": " + this.plan.faults().size() + " faults, " + this.requests
				+ " requests, " + this.served + " served, "
				+ (counts.isEmpty() ? "all promises kept" : "broken: " + counts) + details;
	}

}
