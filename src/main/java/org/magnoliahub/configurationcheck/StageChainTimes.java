package org.magnoliahub.configurationcheck;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.configurationcheck.RouteEntry.StageEntry;
import org.magnoliahub.serving.StageLimits;

/**
 * The stages of a route can be complete before its timeout and its objective. The time is
 * that of the slowest chain of dependent stages with one piece each and without queueing,
 * so that no request with all stages is faster.
 */
final class StageChainTimes implements Rule {

	@Override
	public void check(StoredConfiguration configuration, Consumer<Finding> findings) {
		Map<String, @Nullable StageLimits> limits = new HashMap<>();
		for (ServiceEntry service : configuration.services().value()) {
			limits.put(service.name().value(), service.stageLimits());
		}
		for (RouteEntry route : configuration.routes().value()) {
			long chain = (long) Math.ceil(chainMillis(route.stages().value(), limits));
			check(route, chain, findings);
		}
	}

	private static void check(RouteEntry route, long chain, Consumer<Finding> findings) {
		String needed = "expected at least " + chain + " ms, which the stages need without queueing, but the ";
		Field<Long> timeout = route.timeoutMillis();
		Field<Long> objective = route.objectiveMillis();
		if (chain > timeout.value()) {
			findings.accept(Finding.error(timeout.path(),
					needed + "timeout is " + timeout.value() + " ms; requests with all stages cannot succeed"));
		}
		else if (chain > objective.value()) {
			findings.accept(Finding.warning(objective.path(),
					needed + "objective is " + objective.value() + " ms; requests with all stages are late"));
		}
	}

	// Inputs that are not earlier stages are errors of their own and are left out here.
	private static double chainMillis(List<StageEntry> stages, Map<String, @Nullable StageLimits> limits) {
		double[] ends = new double[stages.size()];
		double last = 0;
		for (int stage = 0; stage < ends.length; stage++) {
			double start = 0;
			for (Field<Long> input : stages.get(stage).inputStages()) {
				start = Math.max(start, (input.value() < stage) ? ends[input.value().intValue()] : 0);
			}
			StageLimits stageLimits = limits.get(stages.get(stage).service().value());
			ends[stage] = start + ((stageLimits != null) ? stageLimits.expectedMillis(1) : 0);
			last = Math.max(last, ends[stage]);
		}
		return last;
	}

}
