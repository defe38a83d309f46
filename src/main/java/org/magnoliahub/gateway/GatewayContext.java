package org.magnoliahub.gateway;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import org.magnoliahub.claim.ClaimRepository;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.time.TimerService;

/**
 * What all requests of a gateway share.
 *
 * @param name name of the gateway
 * @param configuration the configuration in force
 * @param scheduler admission and choice of endpoints
 * @param connections connections to agents
 * @param dispatcher delivers messages from agents
 * @param claims claims of non-idempotent requests
 * @param timers time
 * @param random randomness
 * @param limits limits
 * @param retryBudget retries that are allowed at present
 * @param retries counts retries
 */
record GatewayContext(String name, Supplier<Configuration> configuration, StageScheduler scheduler,
		AgentConnections connections, AttemptDispatcher dispatcher, ClaimRepository claims, TimerService timers,
		RandomGenerator random, GatewayLimits limits, RetryBudget retryBudget, Counter retries) {

}
