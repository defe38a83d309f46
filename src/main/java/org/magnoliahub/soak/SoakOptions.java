package org.magnoliahub.soak;

import java.nio.file.Path;

/**
 * How a soak runs.
 *
 * @param seconds length of the load
 * @param gateways number of gateway processes
 * @param callers number of callers
 * @param directory where settings and logs go
 */
public record SoakOptions(long seconds, int gateways, int callers, Path directory) {
}
