package org.magnoliahub.configurationcheck;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.StageLimits;

/**
 * Service of a stored configuration.
 *
 * @param name unique name
 * @param stageLimits limits of a stage service, {@code null} for other services
 * @param coldSeconds how long a started server is cold, in seconds; zero if it is not
 * @param coldRate requests per second to a cold server, zero for no limit
 */
public record ServiceEntry(Field<String> name, @Nullable StageLimits stageLimits, Field<Double> coldSeconds,
		Field<Double> coldRate) {
}
