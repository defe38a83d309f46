package org.magnoliahub.routing;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.time.TimerService;

/**
 * Routing policies of a gateway. All but the default are baselines for comparisons under
 * the same load.
 */
public enum RoutingPolicy {

	/** Routes by deadlines, slowdowns and workspace shares; the default policy. */
	DEADLINE_AWARE((configuration, timers, random, zone, gateway) -> DeadlineAwareScheduler.of(configuration, timers,
			random, zone, gateway, SchedulerParameters.current())),

	/** Selects the endpoint with the fewest outstanding attempts. */
	LEAST_OUTSTANDING((configuration, timers, random, zone, gateway) -> BaselineScheduler
		.leastOutstanding(configuration, random)),

	/** Selects the endpoints in turn. */
	ROUND_ROBIN((configuration, timers, random, zone, gateway) -> BaselineScheduler.roundRobin(configuration)),

	/** Selects an endpoint uniformly at random. */
	RANDOM((configuration, timers, random, zone, gateway) -> BaselineScheduler.random(configuration, random));

	private final Factory factory;

	RoutingPolicy(Factory factory) {
		this.factory = factory;
	}

	/**
	 * Creates a scheduler with this policy.
	 * @param configuration supplies the current configuration
	 * @param timers monotonic time and timers
	 * @param random source of randomness
	 * @param zone availability zone of the gateway
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
