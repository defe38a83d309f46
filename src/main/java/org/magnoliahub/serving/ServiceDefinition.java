package org.magnoliahub.serving;

import org.jspecify.annotations.Nullable;

/**
 * Service that routes refer to.
 *
 * @param name unique name
 * @param healthPath path of the health check
 * @param stageLimits limits of a stage service, {@code null} for other services
 * @param engine whether the endpoints are model engines
 */
public record ServiceDefinition(String name, String healthPath, @Nullable StageLimits stageLimits, boolean engine) {
}
