package org.magnoliahub.gateway;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import org.magnoliahub.claim.ClaimRepository;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.time.TimerService;

/**
 * Objects and settings that all requests of a gateway share.
 *
 * @param name name of the gateway
 * @param configuration supplies the current configuration
 * @param scheduler admission control and endpoint selection
 * @param connections connections to agents
 * @param dispatcher dispatches messages from agents
 * @param claims repository of the claims of non-idempotent requests
 * @param timers monotonic time and timers
 * @param random random numbers for ids and jitter
 * @param limits limits of the gateway
 * @param retryBudget limits the retries of all requests together
 * @param retryCounter counter of retries
 */
record GatewayContext(String name, Supplier<Configuration> configuration, StageScheduler scheduler,
		AgentConnections connections, AttemptDispatcher dispatcher, ClaimRepository claims, TimerService timers,
		RandomGenerator random, GatewayLimits limits, RetryBudget retryBudget, Counter retryCounter) {

}
