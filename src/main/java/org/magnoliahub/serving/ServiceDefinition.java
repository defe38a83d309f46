package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * A service of the configuration.
 *
 * @param name unique name
 * @param healthPath path of the health check
 * @param stageLimits set for services that work on stages
 * @param engine whether the endpoints are model engines
 */
public record ServiceDefinition(String name, String healthPath, @Nullable StageLimits stageLimits, boolean engine) {
}
