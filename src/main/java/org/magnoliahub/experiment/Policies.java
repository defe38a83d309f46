package org.magnoliahub.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliahub.routing.DeadlineAwareScheduler;
import org.magnoliahub.routing.RoutingPolicy;
import org.magnoliahub.routing.SchedulerParameters;

/**
 * Schedulers that an experiment compares.
 */
final class Policies {

	static final String CURRENT = "current";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Policies() {
	}

	static Map<String, ExperimentRun.Policy> all() {
		Map<String, ExperimentRun.Policy> policies = baselines();
		versions().forEach((name, parameters) -> policies.put(name, deadlineAware(parameters)));
		return policies;
	}

	/**
	 * Finds a scheduler by name. A version of the policy may be followed by changed
	 * parameters, for example {@code current+holding=false+sampleSize=4}.
	 * @param name the name
	 * @return the scheduler
	 * @throws IllegalArgumentException if there is none
	 */
	static ExperimentRun.Policy find(String name) {
		String[] parts = name.split("\\+");
		ExperimentRun.Policy policy = all().get(parts[0]);
		SchedulerParameters parameters = versions().get(parts[0]);
		if (policy == null || (parts.length > 1 && parameters == null)) {
			throw new IllegalArgumentException("expected one of " + all().keySet() + ", but was '" + name + "'");
		}
		if (parameters == null) {
			return policy;
		}
		ObjectNode tree = MAPPER.valueToTree(parameters);
		for (String part : List.of(parts).subList(1, parts.length)) {
			String[] change = part.split("=");
			if (change.length != 2 || !tree.has(change[0])) {
				throw new IllegalArgumentException("expected parameter=value, but was '" + part + "'");
			}
			tree.put(change[0], change[1]);
		}
		return deadlineAware(MAPPER.convertValue(tree, SchedulerParameters.class));
	}

	private static Map<String, SchedulerParameters> versions() {
		Map<String, SchedulerParameters> versions = new LinkedHashMap<>();
		versions.put("first", SchedulerParameters.first());
		versions.put(CURRENT, SchedulerParameters.current());
		return versions;
	}

	static Map<String, ExperimentRun.Policy> baselines() {
		Map<String, ExperimentRun.Policy> policies = new LinkedHashMap<>();
		policies.put("random", RoutingPolicy.RANDOM::create);
		policies.put("round-robin", RoutingPolicy.ROUND_ROBIN::create);
		policies.put("least-outstanding", RoutingPolicy.LEAST_OUTSTANDING::create);
		return policies;
	}

	static ExperimentRun.Policy deadlineAware(SchedulerParameters parameters) {
		return (configuration, timers, random, zone, gateway) -> DeadlineAwareScheduler.of(configuration, timers,
				random, zone, gateway, parameters);
	}

}
