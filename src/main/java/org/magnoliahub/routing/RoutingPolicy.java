package org.magnoliahub.routing;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.time.TimerService;

/**
 * Policies that a gateway can run, for comparisons on the same load.
 */
public enum RoutingPolicy {

	/** Deadlines, speeds and shares decide; the product's policy. */
	DEADLINE_AWARE((configuration, timers, random, zone, gateway) -> DeadlineAwareScheduler.of(configuration, timers,
			random, zone, gateway, SchedulerParameters.current())),

	/** The endpoint with fewest outstanding attempts. */
	LEAST_OUTSTANDING((configuration, timers, random, zone, gateway) -> BaselineScheduler
		.leastOutstanding(configuration, random)),

	/** Each endpoint in turn. */
	ROUND_ROBIN((configuration, timers, random, zone, gateway) -> BaselineScheduler.roundRobin(configuration)),

	/** Any endpoint, uniformly at random. */
	RANDOM((configuration, timers, random, zone, gateway) -> BaselineScheduler.random(configuration, random));

	private final Factory factory;

	RoutingPolicy(Factory factory) {
		this.factory = factory;
	}

	/**
	 * Creates a scheduler with this policy.
	 * @param configuration supplies the configuration in force
	 * @param timers time
	 * @param random randomness
	 * @param zone zone of the gateway
	 * @param gateway name of the gateway
	 * @return the scheduler
	 */
	public StageScheduler create(Supplier<Configuration> configuration, TimerService timers, RandomGenerator random,
			AvailabilityZone zone, String gateway) {
		return this.factory.create(configuration, timers, random, zone, gateway);
	}

	/**
	 * Creates a scheduler.
	 */
	@FunctionalInterface
	private interface Factory {

		StageScheduler create(Supplier<Configuration> configuration, TimerService timers, RandomGenerator random,
				AvailabilityZone zone, String gateway);

	}

}
